/**
 * What the keeper of the configuration needs from other parts.
 */
import type * as configurationLog from '@dogwoodstall/configuration-log';
import type * as membership from '@dogwoodstall/membership';
import type * as peerLink from '@dogwoodstall/peer-link';

/** The configuration log in the store. */
export type Log = Pick<
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
export interface SpreadTimings {
  /**
   * Between two exchanges of revisions with a random peer. Probes of membership tell revisions several
   * times a second; an exchange is the only message that also tells how old the knowledge of the store is.
   */
  readonly exchange: number;
  /** Between two checks whether this daemon is a watcher. */
  readonly role: number;
  /** Shortest time between two pushes to one peer. */
  readonly push: number;
  /** Shortest and longest wait before the store is tried again. */
  readonly retryMinimum: number;
  readonly retryMaximum: number;
  /** Between two attempts to start from the peers of the zone. */
  readonly startUp: number;
  /** After this time a watch is opened anew, so that a dead connection can't hide changes. */
  readonly watch: number;
  readonly call: number;
}

/** The intervals of production. */
export const defaultTimings: SpreadTimings = {
  exchange: 5000,
  role: 1000,
  push: 1000,
  retryMinimum: 1000,
  retryMaximum: 15_000,
  startUp: 1000,
  watch: 60_000,
  call: 2000,
};
