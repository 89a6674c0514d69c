/**
 * Interfaces and timings that the configuration synchroniser depends on.
 */
import type * as configurationLog from '@dogwoodstall/configuration-log';
import type * as membership from '@dogwoodstall/membership';
import type * as peerLink from '@dogwoodstall/peer-link';

/** The configuration log in the store. */
export type ChangeLog = Pick<
  configurationLog.ConfigurationLog,
  'readLatest' | 'readChanges' | 'follow' | 'writeSnapshot'
>;

/** The members of the fleet. */
export type Members = Pick<
  membership.Membership,
  'self' | 'members' | 'find' | 'isReachable' | 'announceRevision'
>;

/** The links to peers. */
export interface Links {
  linkTo(target: peerLink.PeerTarget): Pick<peerLink.PeerLink, 'call'>;
}

/** Intervals in milliseconds. */
export interface SynchroniserTimings {
  /**
   * Between two exchanges of revisions with a random peer. Membership probes announce revisions several
   * times a second; only an exchange also reports the time since the store was last read.
   */
  readonly exchange: number;
  /** Between two checks whether this daemon is a watcher. */
  readonly role: number;
  /** Minimum time between two pushes to one peer. */
  readonly push: number;
  /** Minimum and maximum delay before the store is retried. */
  readonly retryMinimum: number;
  readonly retryMaximum: number;
  /** Between two attempts to start from the peers of the zone. */
  readonly startUp: number;
  /** After this time a watch is reopened, so that a dead connection can't hide changes. */
  readonly watch: number;
  readonly call: number;
}

/** The default intervals. */
export const defaultTimings: SynchroniserTimings = {
  exchange: 5000,
  role: 1000,
  push: 1000,
  retryMinimum: 1000,
  retryMaximum: 15_000,
  startUp: 1000,
  watch: 60_000,
  call: 2000,
};
