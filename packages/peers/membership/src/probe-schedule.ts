/**
 * The order in which a daemon probes other members.
 */
import * as hashing from '@dogwoodstall/hashing';
import type * as peerLink from '@dogwoodstall/peer-link';
import type { SeededRandom } from './random.js';

// Each daemon probes this many members in turn and keeps its connections to them. In a random graph
// of this degree, every member is probed by about as many others, and TLS handshakes are rare.
const NEIGHBOUR_COUNT = 24;

/** Chooses the member that is probed next. */
export class ProbeSchedule {
  private readonly ownName: string;

  private readonly random: SeededRandom;

  private readonly urgent = new Set<string>();

  private readonly urgentAt = new Map<string, number>();

  private remaining: string[] = [];

  constructor(ownName: string, random: SeededRandom) {
    this.ownName = ownName;
    this.random = random;
  }

  /** Whether a member is due to be probed without waiting for the next round. */
  get hasUrgent(): boolean {
    return this.urgent.size > 0;
  }

  /** Schedules a member as the next, at most once per interval, however often its calls fail. */
  addUrgent(name: string, interval: number): void {
    const now = performance.now();
    if (now - (this.urgentAt.get(name) ?? -Infinity) >= interval) {
      this.urgentAt.set(name, now);
      this.urgent.add(name);
    }
  }

  /** Removes the state of a removed member. */
  remove(name: string): void {
    this.urgentAt.delete(name);
  }

  /** Returns the live peer that is probed next; undefined when there is none. */
  next(peers: readonly peerLink.MemberUpdate[]): peerLink.MemberUpdate | undefined {
    const byName = new Map(peers.map((peer) => [peer.name, peer]));
    for (const name of this.urgent) {
      this.urgent.delete(name);
      const member = byName.get(name);
      if (member !== undefined) {
        return member;
      }
    }
    if (this.remaining.length === 0) {
      const ranked = hashing.rankMembers(this.ownName, peers, (peer) => peer.name);
      const neighbours = ranked.slice(0, NEIGHBOUR_COUNT).map((peer) => peer.name);
      this.remaining = this.random.sample(neighbours, NEIGHBOUR_COUNT);
    }
    // A member that failed since the sample was drawn is skipped without losing the round.
    while (this.remaining.length > 0) {
      const member = byName.get(this.remaining.pop() ?? '');
      if (member !== undefined) {
        return member;
      }
    }
    return undefined;
  }
}
