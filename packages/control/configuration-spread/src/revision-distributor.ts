/**
 * Distributes revisions between peers: pushes new revisions and exchanges revision numbers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as hashing from '@dogwoodstall/hashing';
import * as membership from '@dogwoodstall/membership';
import type * as peerLink from '@dogwoodstall/peer-link';
import { pullAll } from './peer-pull.js';
import type { Links, Members, SynchroniserTimings } from './dependencies.js';
import type { ConfigurationState } from './state.js';

const PUSH_FANOUT = 4;
const PUSHES_TO_OTHER_ZONES = 2;
// For a larger change a push contains only the revision number, as most peers have the change already.
const MAXIMUM_PUSHED_BYTES = 4096;
// Exchanges are limited to few peers, so that connections are reused.
const MAXIMUM_EXCHANGE_PEERS = 24;
// Time without a response after which another source is pulled from in parallel.
const PULL_HEDGE_DELAY_MILLISECONDS = 200;
const MAXIMUM_CONCURRENT_PULLS = 3;
const EXCHANGE_JITTER_FRACTION = 0.4;

/** Options of `RevisionDistributor`. */
export interface RevisionDistributorOptions {
  readonly name: string;
  readonly members: Members;
  readonly links: Links;
  readonly state: ConfigurationState;
  readonly timings: SynchroniserTimings;
  readonly random: membership.SeededRandom;
  readonly signal: AbortSignal;
  /** Called with the time since the store was last read, as reported by a peer. */
  readonly onStoreAge: (milliseconds: number) => void;
}

/** Pushes, pulls and exchanges revisions. */
export class RevisionDistributor {
  private readonly options: RevisionDistributorOptions;

  private readonly pushedAt = new Map<string, number>();

  private readonly knownRevisions = new Map<string, number>();

  private pushTimer: NodeJS.Timeout | undefined;

  /** Start times of the running pulls by source. */
  private readonly pullStartTimes = new Map<string, number>();

  private pullTimer: NodeJS.Timeout | undefined;

  private pendingSource: string | undefined;

  constructor(options: RevisionDistributorOptions) {
    this.options = options;
  }

  /** Exchanges revision numbers with a random peer at each interval until the signal aborts. */
  async run(): Promise<void> {
    const { signal, timings, random } = this.options;
    while (!signal.aborted) {
      const steps = 1000;
      const jitter = EXCHANGE_JITTER_FRACTION * (random.integer(steps) / steps - 0.5);
      await delay(timings.exchange * (1 + jitter), undefined, { signal }).catch(() => {});
      const peers = this.listReachablePeers();
      const exchangePeers = hashing
        .rankMembers(this.options.name, peers, (peer) => peer.name)
        .slice(0, MAXIMUM_EXCHANGE_PEERS);
      const [peer] = random.sample(exchangePeers, 1);
      if (peer !== undefined && !signal.aborted) {
        await this.exchange(peer);
      }
    }
  }

  /** Cancels scheduled pushes and pulls. */
  stop(): void {
    clearTimeout(this.pushTimer);
    clearTimeout(this.pullTimer);
  }

  /** Pushes the active revision to a few outdated peers, up to two of them in other zones. */
  push(): void {
    const { timings, members, state } = this.options;
    const now = performance.now();
    const outdatedPeers = this.listReachablePeers().filter(
      (peer) => this.getKnownRevision(peer) < state.revision,
    );
    const eligiblePeers = outdatedPeers.filter(
      (peer) => now - (this.pushedAt.get(peer.name) ?? -Infinity) >= timings.push,
    );
    const { zone } = members.self;
    const otherZonePeers = this.options.random.sample(
      eligiblePeers.filter((peer) => peer.zone !== zone),
      PUSHES_TO_OTHER_ZONES,
    );
    const otherPeers = this.options.random.sample(
      eligiblePeers.filter((peer) => !otherZonePeers.includes(peer)),
      PUSH_FANOUT - otherZonePeers.length,
    );
    for (const peer of [...otherZonePeers, ...otherPeers]) {
      this.pushedAt.set(peer.name, now);
      this.pushTo(peer).catch(() => {});
    }
    if (eligiblePeers.length < Math.min(outdatedPeers.length, PUSH_FANOUT)) {
      this.schedulePush();
    }
  }

  /** Records the revision that a peer announced, and pulls from the peer if it is newer. */
  recordRevision(name: string, revision: number): void {
    this.knownRevisions.set(name, Math.max(revision, this.knownRevisions.get(name) ?? 0));
    if (revision > this.options.state.revision && this.options.state.current !== undefined) {
      this.startOrSchedulePull(name);
    }
  }

  // Combines a burst of revisions into one push; the peer pulls the revisions in between.
  private schedulePush(): void {
    this.pushTimer ??= setTimeout(() => {
      this.pushTimer = undefined;
      this.push();
    }, this.options.timings.push).unref();
  }

  private listReachablePeers(): membership.Member[] {
    const { members, name } = this.options;
    return members
      .members()
      .filter((member) => member.name !== name && members.isReachable(member.name));
  }

  private getKnownRevision(peer: membership.Member): number {
    return Math.max(peer.revision, this.knownRevisions.get(peer.name) ?? 0);
  }

  private linkTo(peer: membership.Member): Pick<peerLink.PeerLink, 'call'> {
    return this.options.links.linkTo({ name: peer.name, peerAddress: peer.peerAddress });
  }

  private async pushTo(peer: membership.Member): Promise<void> {
    const { state, name, timings } = this.options;
    const { revision } = state;
    const isSmall = state.lastChangeBytes <= MAXIMUM_PUSHED_BYTES;
    const change = isSmall ? state.recent.getPageAfter(revision - 1)?.[0] : undefined;
    const input = { from: name, revision, ...(change === undefined ? {} : { change }) };
    const options = { milliseconds: timings.call };
    const response = await this.linkTo(peer).call('pushChange', input, options);
    this.recordRevision(peer.name, response.revision);
  }

  private async exchange(peer: membership.Member): Promise<void> {
    const { state, name, timings, signal } = this.options;
    try {
      const input = { from: name, revision: state.revision };
      const options = { milliseconds: timings.call, signal };
      const response = await this.linkTo(peer).call('summary', input, options);
      this.recordRevision(peer.name, response.revision);
      if (response.storeAgeMilliseconds !== undefined) {
        this.options.onStoreAge(response.storeAgeMilliseconds);
      }
    } catch {
      // The next exchange selects a peer again.
    }
  }

  // Pulls overlap, so that a source that does not respond does not delay the others until its timeout.
  private startOrSchedulePull(name: string): void {
    const now = performance.now();
    const latestStart = Math.max(...this.pullStartTimes.values());
    const isWithinHedgeDelay = now - latestStart < PULL_HEDGE_DELAY_MILLISECONDS;
    if (
      isWithinHedgeDelay ||
      this.pullStartTimes.has(name) ||
      this.pullStartTimes.size >= MAXIMUM_CONCURRENT_PULLS
    ) {
      this.pendingSource = this.pullStartTimes.has(name) ? this.pendingSource : name;
      this.pullTimer ??= setTimeout(() => {
        this.pullTimer = undefined;
        this.pullFromPendingSource();
      }, PULL_HEDGE_DELAY_MILLISECONDS).unref();
      return;
    }
    this.pullStartTimes.set(name, now);
    this.pullFrom(name)
      .catch(() => {})
      .finally(() => {
        this.pullStartTimes.delete(name);
        this.pullFromPendingSource();
      });
  }

  private pullFromPendingSource(): void {
    const next = this.pendingSource;
    this.pendingSource = undefined;
    if (next !== undefined && (this.knownRevisions.get(next) ?? 0) > this.options.state.revision) {
      this.startOrSchedulePull(next);
    }
  }

  private async pullFrom(name: string): Promise<void> {
    const { members, state, timings, signal } = this.options;
    const peer = members.find(name);
    if (peer !== undefined) {
      const link = this.linkTo(peer);
      const options = { milliseconds: timings.call, signal };
      await pullAll(state, (input) => link.call('pullChanges', input, options));
    }
  }
}
