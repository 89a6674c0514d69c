/**
 * Spreads revisions between peers: pushes of new revisions, and the exchange of revision numbers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as hashing from '@dogwoodstall/hashing';
import * as membership from '@dogwoodstall/membership';
import type * as peerLink from '@dogwoodstall/peer-link';
import { pullAll } from './peer-source.js';
import type { Links, Members, SpreadTimings } from './ports.js';
import type { ConfigurationState } from './state.js';

const PUSH_FANOUT = 4;
const PUSHES_TO_OTHER_ZONES = 2;
// A push with a larger change carries only the number; most peers have the change already.
const MAXIMUM_PUSHED_BYTES = 4096;
// Exchanges stay with few peers, so that their connections are reused.
const NEIGHBOURS = 24;
// After this time another source is asked as well.
const PULL_PATIENCE_MILLISECONDS = 200;
const MAXIMUM_PULLS = 3;
const EXCHANGE_JITTER_SHARE = 0.4;

/** Options of the spreader. */
export interface SpreaderOptions {
  readonly name: string;
  readonly members: Members;
  readonly links: Links;
  readonly state: ConfigurationState;
  readonly timings: SpreadTimings;
  readonly random: membership.SeededRandom;
  readonly signal: AbortSignal;
  /** Called with the age of a peer's knowledge of the store. */
  readonly onStoreAge: (milliseconds: number) => void;
}

/** Pushes, pulls and exchanges revisions. */
export class Spreader {
  private readonly options: SpreaderOptions;

  private readonly pushedAt = new Map<string, number>();

  private readonly knownRevisions = new Map<string, number>();

  private pushTimer: NodeJS.Timeout | undefined;

  /** Sources of the pulls that run, with the time of their start. */
  private readonly pulls = new Map<string, number>();

  private patienceTimer: NodeJS.Timeout | undefined;

  private waitingSource: string | undefined;

  constructor(options: SpreaderOptions) {
    this.options = options;
  }

  /** Exchanges revision numbers with a random peer at each interval until the signal. */
  async run(): Promise<void> {
    const { signal, timings, random } = this.options;
    while (!signal.aborted) {
      const steps = 1000;
      const jitter = EXCHANGE_JITTER_SHARE * (random.integer(steps) / steps - 0.5);
      await delay(timings.exchange * (1 + jitter), undefined, { signal }).catch(() => {});
      const peers = this.livePeers();
      const neighbours = hashing
        .rankMembers(this.options.name, peers, (peer) => peer.name)
        .slice(0, NEIGHBOURS);
      const [peer] = random.sample(neighbours, 1);
      if (peer !== undefined && !signal.aborted) {
        await this.exchange(peer);
      }
    }
  }

  /** Stops pushing. */
  stop(): void {
    clearTimeout(this.pushTimer);
    clearTimeout(this.patienceTimer);
  }

  /** Pushes the revision in force to a few peers, two of them in other zones. */
  push(): void {
    const { timings, members, state } = this.options;
    const now = performance.now();
    const lacking = this.livePeers().filter((peer) => this.revisionOf(peer) < state.revision);
    const free = lacking.filter(
      (peer) => now - (this.pushedAt.get(peer.name) ?? -Infinity) >= timings.push,
    );
    const { zone } = members.self;
    const far = this.options.random.sample(
      free.filter((peer) => peer.zone !== zone),
      PUSHES_TO_OTHER_ZONES,
    );
    const rest = this.options.random.sample(
      free.filter((peer) => !far.includes(peer)),
      PUSH_FANOUT - far.length,
    );
    for (const peer of [...far, ...rest]) {
      this.pushedAt.set(peer.name, now);
      this.pushTo(peer).catch(() => {});
    }
    if (free.length < Math.min(lacking.length, PUSH_FANOUT)) {
      this.pushLater();
    }
  }

  /** Notes the revision that a peer told, and pulls from it when it has more. */
  noteRevision(name: string, revision: number): void {
    this.knownRevisions.set(name, Math.max(revision, this.knownRevisions.get(name) ?? 0));
    if (revision > this.options.state.revision && this.options.state.current !== undefined) {
      this.pullSoon(name);
    }
  }

  // A burst of revisions becomes one push: the peer pulls what lies between.
  private pushLater(): void {
    this.pushTimer ??= setTimeout(() => {
      this.pushTimer = undefined;
      this.push();
    }, this.options.timings.push).unref();
  }

  private livePeers(): membership.Member[] {
    const { members, name } = this.options;
    return members
      .members()
      .filter((member) => member.name !== name && members.isReachable(member.name));
  }

  private revisionOf(peer: membership.Member): number {
    return Math.max(peer.revision, this.knownRevisions.get(peer.name) ?? 0);
  }

  private linkTo(peer: membership.Member): Pick<peerLink.PeerLink, 'call'> {
    return this.options.links.linkTo({ name: peer.name, peerAddress: peer.peerAddress });
  }

  private async pushTo(peer: membership.Member): Promise<void> {
    const { state, name, timings } = this.options;
    const { revision } = state;
    const small = state.lastChangeBytes <= MAXIMUM_PUSHED_BYTES;
    const change = small ? state.recent.pageAfter(revision - 1)?.[0] : undefined;
    const input = { from: name, revision, ...(change === undefined ? {} : { change }) };
    const options = { milliseconds: timings.call };
    const answer = await this.linkTo(peer).call('pushChange', input, options);
    this.noteRevision(peer.name, answer.revision);
  }

  private async exchange(peer: membership.Member): Promise<void> {
    const { state, name, timings, signal } = this.options;
    try {
      const input = { from: name, revision: state.revision };
      const options = { milliseconds: timings.call, signal };
      const answer = await this.linkTo(peer).call('summary', input, options);
      this.noteRevision(peer.name, answer.revision);
      if (answer.storeAgeMilliseconds !== undefined) {
        this.options.onStoreAge(answer.storeAgeMilliseconds);
      }
    } catch {
      // The next exchange asks another peer.
    }
  }

  // A source that does not answer must not hold up the others until its call ends.
  private pullSoon(name: string): void {
    const now = performance.now();
    const youngest = Math.max(...this.pulls.values());
    const isEarly = now - youngest < PULL_PATIENCE_MILLISECONDS;
    if (isEarly || this.pulls.has(name) || this.pulls.size >= MAXIMUM_PULLS) {
      this.waitingSource = this.pulls.has(name) ? this.waitingSource : name;
      this.patienceTimer ??= setTimeout(() => {
        this.patienceTimer = undefined;
        this.pullWaiting();
      }, PULL_PATIENCE_MILLISECONDS).unref();
      return;
    }
    this.pulls.set(name, now);
    this.pullFrom(name)
      .catch(() => {})
      .finally(() => {
        this.pulls.delete(name);
        this.pullWaiting();
      });
  }

  private pullWaiting(): void {
    const next = this.waitingSource;
    this.waitingSource = undefined;
    if (next !== undefined && (this.knownRevisions.get(next) ?? 0) > this.options.state.revision) {
      this.pullSoon(next);
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
