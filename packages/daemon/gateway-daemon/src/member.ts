/**
 * The daemons of the fleet and their ranking for each role.
 *
 * Every daemon computes the same ranking from the same members by rendezvous hashing, so that no election is needed.
 */
import * as hashing from '@dogwoodstall/hashing';
import * as z from 'zod';
import { type GatewaySettings, splitAddress } from './settings.js';

/** Identity and addresses of a daemon, as published to the others. */
export const memberSchema = z.object({
  name: z.string(),
  zone: z.string(),
  host: z.string(),
  datagramPort: z.number().int(),
  /** `IP address:port` of the state server. */
  peerAddress: z.string(),
  /** `IP address:port` at which the daemon accepts requests; absent from the entries of older daemons. */
  callerAddress: z.string().optional(),
  /** Processor cores that the daemon may use. */
  cores: z.number().positive(),
  /** Start time in epoch milliseconds; of two entries with the same name, the one that started later wins. */
  startedAt: z.number(),
});

export type Member = z.infer<typeof memberSchema>;

/** Returns the entry of a daemon that starts now with the given settings. */
export function createMemberEntry({ name, zone, listen, limits }: GatewaySettings): Member {
  return {
    name,
    zone,
    host: splitAddress(listen.peer).host,
    datagramPort: listen.datagramPort,
    peerAddress: listen.peer,
    callerAddress: listen.caller,
    cores: limits.cores * limits.coreShare,
    startedAt: Date.now(),
  };
}

const RADIX = 36;

/** A task for which the daemons are ranked. */
export interface Role {
  readonly name: string;
  /** Availability zone whose daemons are preferred; undefined when any zone will do. */
  readonly zone: string | undefined;
}

/** The role of watching the store. The `@` avoids a clash with cells, whose names begin with a service's name. */
export const STORE_WATCHER_ROLE: Role = { name: '@store', zone: undefined };

// Rounded to a power of two, so that VMs of similar CPU capacity share the roles evenly.
function computeCapacityClass({ cores }: Member): number {
  return Math.round(Math.log2(cores));
}

/** Number of daemons at the head of a ranking that is enough in most cases. */
const HEAD_MEMBERS = 12;

function rankByPreference(members: Iterable<Member>, { name: roleName, zone }: Role): Member[] {
  const hashed = hashing.rankMembers(roleName, members, ({ name }) => name);
  const isNear = (member: Member): number => (member.zone === zone ? 1 : 0);
  return hashed.sort(
    (left, right) =>
      computeCapacityClass(right) - computeCapacityClass(left) || isNear(right) - isNear(left),
  );
}

/** The known daemons. An entry is kept until a daemon with the same name starts later. */
export class MemberTable {
  private readonly byName = new Map<string, Member>();

  private readonly byHost = new Map<string, Member>();

  private readonly rankings = new Map<string, readonly Member[]>();

  /** The heads of the rankings, by role. */
  private readonly heads = new Map<string, readonly Member[]>();

  /** Results of `isSelfAmongFirst`. */
  private readonly amongFirst = new Map<string, boolean>();

  /** Results of `findSelfPosition`. */
  private readonly positions = new Map<string, number>();

  private strongest: readonly Member[] | undefined;

  private cachedDigest: string | undefined;

  private changes = 0;

  constructor(readonly self: Member) {
    this.add(self);
  }

  /** Number of changes so far. */
  get changeCount(): number {
    return this.changes;
  }

  /** Digest of the names and hosts of all daemons; daemons compare it to detect missing members. */
  get digest(): string {
    if (this.cachedDigest === undefined) {
      const lines = [...this.byName.values()].map(({ name, host }) => `${name} ${host}`).sort();
      this.cachedDigest = hashing.hashText64(lines.join('\n')).toString(RADIX);
    }
    return this.cachedDigest;
  }

  /** Number of known daemons, this one included. */
  get count(): number {
    return this.byName.size;
  }

  list(): Member[] {
    return [...this.byName.values()];
  }

  /** Returns the daemon with the given name. */
  find(name: string): Member | undefined {
    return this.byName.get(name);
  }

  /** Returns the daemon at the given host. */
  findByHost(host: string): Member | undefined {
    return this.byHost.get(host);
  }

  /** Adds or replaces a daemon and returns whether the table changed; the entry of this daemon is never replaced. */
  add(member: Member): boolean {
    const known = this.byName.get(member.name);
    const isSelf = member.name === this.self.name && member !== this.self;
    if (isSelf || (known !== undefined && known.startedAt >= member.startedAt)) {
      return false;
    }
    if (known !== undefined && this.byHost.get(known.host) === known) {
      this.byHost.delete(known.host);
    }
    this.byName.set(member.name, member);
    this.byHost.set(member.host, member);
    this.rankings.clear();
    this.heads.clear();
    this.amongFirst.clear();
    this.positions.clear();
    this.strongest = undefined;
    this.changes += 1;
    this.cachedDigest = undefined;
    return true;
  }

  /** Returns the daemons in order of preference for a role: by CPU capacity, then by zone, then by hash. */
  rank(role: Role): readonly Member[] {
    let ranking = this.rankings.get(role.name);
    if (ranking === undefined) {
      ranking = rankByPreference(this.byName.values(), role);
      this.rankings.set(role.name, ranking);
    }
    return ranking;
  }

  /** Iterates over the ranking for a role; ranks only the daemons with the highest CPU capacity until more are needed. */
  *iterateRanking(role: Role): Iterable<Member> {
    let head = this.heads.get(role.name);
    if (head === undefined) {
      head = rankByPreference(this.listStrongest(), role);
      this.heads.set(role.name, head);
    }
    yield* head;
    if (head.length < this.byName.size) {
      yield* this.rank(role).slice(head.length);
    }
  }

  /** Returns the daemons of the highest classes of CPU capacity that have at least `HEAD_MEMBERS` together. */
  private listStrongest(): readonly Member[] {
    if (this.strongest === undefined) {
      const sorted = this.list().sort(
        (left, right) => computeCapacityClass(right) - computeCapacityClass(left),
      );
      const last = sorted[HEAD_MEMBERS - 1];
      this.strongest =
        last === undefined
          ? sorted
          : sorted.filter((member) => computeCapacityClass(member) >= computeCapacityClass(last));
    }
    return this.strongest;
  }

  /**
   * Whether this daemon is among the first of the ranking for a role. Unlike `rank`, this compares few daemons in most
   * cases, so that a daemon can check it for many cells.
   */
  isSelfAmongFirst(role: Role, count: number): boolean {
    const key = `${count} ${role.name}`;
    let isAmongFirst = this.amongFirst.get(key);
    if (isAmongFirst === undefined) {
      isAmongFirst = this.ranksBehindLessThan(role, count);
      this.amongFirst.set(key, isAmongFirst);
    }
    return isAmongFirst;
  }

  /** Returns the index of this daemon in the ranking for a role, without ranking the others. */
  findSelfPosition(role: Role): number {
    let position = this.positions.get(role.name);
    if (position === undefined) {
      position = 0;
      for (const member of this.byName.values()) {
        position += member !== this.self && this.isRankedBeforeSelf(member, role) ? 1 : 0;
      }
      this.positions.set(role.name, position);
    }
    return position;
  }

  /** Whether less than `count` daemons rank before this one. */
  private ranksBehindLessThan(role: Role, count: number): boolean {
    let before = 0;
    for (const member of this.byName.values()) {
      if (member !== this.self && this.isRankedBeforeSelf(member, role)) {
        before += 1;
        if (before >= count) {
          return false;
        }
      }
    }
    return true;
  }

  private isRankedBeforeSelf(member: Member, { name, zone }: Role): boolean {
    const { self } = this;
    const capacity = computeCapacityClass(member) - computeCapacityClass(self);
    if (capacity !== 0) {
      return capacity > 0;
    }
    if (member.zone !== self.zone && (member.zone === zone || self.zone === zone)) {
      return member.zone === zone;
    }
    return hashing.ranksBefore(name, member.name, self.name);
  }
}
