/**
 * All members that one daemon knows, itself included, and the gossip about them.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import { GossipQueue } from './gossip-queue.js';
import { digestMember, MemberDigests } from './member-digests.js';
import { compareUpdates, mergeUpdate } from './merge.js';

const MAXIMUM_UPDATES = 8;
const MAXIMUM_REVISIONS = 32;
// An update that each member sends this many times log2(n) times reaches all of n members.
const UPDATE_TRANSMISSION_FACTOR = 3;
const REVISION_TRANSMISSION_FACTOR = 1.5;
// Longer than the partition of a region; members that failed earlier are removed.
const FAILED_RETENTION_MILLISECONDS = 7_200_000;

/** The gossip of a message. */
export interface Gossip {
  readonly from: peerLink.MemberUpdate;
  readonly updates: peerLink.MemberUpdate[];
  /** Suspected and failed members, without the data that the receiver already has. */
  readonly doubts: peerLink.SuspicionUpdate[];
  readonly revisions: peerLink.RevisionGroup[];
}

/** Called when a member was added or its state, address or data changed. */
export type MemberListener = (
  member: peerLink.MemberUpdate,
  previous: peerLink.MemberUpdate | undefined,
) => void;

/** The members that one daemon knows, itself included. */
export class MemberTable {
  private own: peerLink.MemberUpdate;

  private readonly others = new Map<string, peerLink.MemberUpdate>();

  private readonly failedAt = new Map<string, number>();

  private readonly digests = new MemberDigests();

  private readonly updates = new GossipQueue();

  private readonly revisions = new GossipQueue();

  private readonly onChange: MemberListener;

  constructor(own: peerLink.MemberUpdate, onChange: MemberListener) {
    this.own = own;
    this.onChange = onChange;
    this.updates.add(own.name);
    this.digests.update(own, undefined);
  }

  /** The current update of this daemon about itself. */
  get self(): peerLink.MemberUpdate {
    return this.own;
  }

  /** Every other member, failed ones included. */
  get peers(): Iterable<peerLink.MemberUpdate> {
    return this.others.values();
  }

  /** Returns another member by name, failed ones included. */
  find(name: string): peerLink.MemberUpdate | undefined {
    return this.others.get(name);
  }

  /** Announces data about this daemon with an incremented counter. */
  announce(data: Partial<Pick<peerLink.MemberUpdate, 'condition' | 'keyHomes' | 'state'>>): void {
    this.replaceOwn({ ...this.own, ...data, counter: this.own.counter + 1 });
  }

  /** Announces the active configuration revision, which is sent in a compact form of its own. */
  announceRevision(revision: number): void {
    if (revision > this.own.revision) {
      this.own = { ...this.own, revision };
      this.revisions.add(this.own.name);
    }
  }

  /** Merges an update; returns whether it changed the known state. */
  merge(update: peerLink.MemberUpdate): boolean {
    if (update.name === this.own.name) {
      return this.refute(update);
    }
    const known = this.others.get(update.name);
    const merged = mergeUpdate(known, update);
    if (merged === known) {
      return false;
    }
    this.others.set(update.name, merged);
    this.digests.update(merged, known);
    if (known !== undefined && compareUpdates(merged, known) === 0) {
      this.revisions.add(update.name);
      return true;
    }
    this.recordState(merged);
    this.onChange(merged, known);
    return true;
  }

  /** Merges the gossip of a message. */
  mergeGossip(gossip: Gossip): void {
    this.merge(gossip.from);
    for (const update of gossip.updates) {
      this.merge(update);
    }
    for (const [digest, counter, state] of gossip.doubts) {
      const name = this.digests.findName(digest);
      const known = name === this.own.name ? this.own : this.others.get(name ?? '');
      if (known !== undefined) {
        this.merge({ ...known, counter, state });
      }
    }
    for (const [revision, digests] of gossip.revisions) {
      for (const digest of digests) {
        this.mergeRevision(digest, revision);
      }
    }
  }

  /** Returns the gossip for one message; includes the receiver unless it is known as alive. */
  takeGossip(receiver?: string): Gossip {
    const size = Math.log2(this.others.size + 2);
    const names = this.updates.take(MAXIMUM_UPDATES, Math.ceil(size * UPDATE_TRANSMISSION_FACTOR));
    const revisionNames = this.revisions.take(
      MAXIMUM_REVISIONS,
      Math.ceil(size * REVISION_TRANSMISSION_FACTOR),
    );
    const known = receiver === undefined ? undefined : this.others.get(receiver);
    if (known !== undefined && known.state !== 'alive' && !names.includes(known.name)) {
      names.push(known.name);
    }
    const updates: peerLink.MemberUpdate[] = [];
    const doubts: peerLink.SuspicionUpdate[] = [];
    for (const name of names) {
      const member = this.others.get(name);
      if (member?.state === 'suspect' || member?.state === 'failed') {
        doubts.push([digestMember(member), member.counter, member.state]);
      } else if (member !== undefined) {
        updates.push(member);
      }
    }
    return { from: this.own, updates, doubts, revisions: this.groupRevisions(revisionNames) };
  }

  /** Returns every other member that has not failed, for a daemon that joins. */
  listForJoin(): peerLink.MemberUpdate[] {
    return [...this.others.values()].filter((member) => member.state !== 'failed');
  }

  /** Removes members whose failure is older than the retention time; returns their names. */
  removeOldFailures(now: number): string[] {
    const removed: string[] = [];
    for (const [name, since] of this.failedAt) {
      if (now - since > FAILED_RETENTION_MILLISECONDS) {
        this.failedAt.delete(name);
        this.digests.remove(this.others.get(name));
        this.others.delete(name);
        this.updates.remove(name);
        this.revisions.remove(name);
        removed.push(name);
      }
    }
    return removed;
  }

  // A revision reaches all members quickly, so most members share one and are grouped by it.
  private groupRevisions(names: readonly string[]): peerLink.RevisionGroup[] {
    const groups = new Map<number, number[]>();
    for (const name of names) {
      const member = name === this.own.name ? this.own : this.others.get(name);
      if (member !== undefined) {
        const digests = groups.get(member.revision) ?? [];
        digests.push(digestMember(member));
        groups.set(member.revision, digests);
      }
    }
    return [...groups];
  }

  private mergeRevision(digest: number, revision: number): void {
    const known = this.others.get(this.digests.findName(digest) ?? '');
    if (known !== undefined && revision > known.revision) {
      this.merge({ ...known, revision });
    }
  }

  private recordState(member: peerLink.MemberUpdate): void {
    this.updates.add(member.name);
    if (member.state === 'failed') {
      this.failedAt.set(member.name, performance.now());
    } else {
      this.failedAt.delete(member.name);
    }
  }

  private refute(update: peerLink.MemberUpdate): boolean {
    const isSuspicion = update.state === 'suspect' || update.state === 'failed';
    const isNewer = compareUpdates(update, this.own) > 0;
    if (update.incarnation !== this.own.incarnation || !(isNewer && isSuspicion)) {
      return false;
    }
    this.replaceOwn({ ...this.own, counter: update.counter + 1 });
    return true;
  }

  private replaceOwn(own: peerLink.MemberUpdate): void {
    const previous = this.own;
    this.own = own;
    this.updates.add(own.name);
    this.onChange(own, previous);
  }
}
