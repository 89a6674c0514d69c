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

/** The known daemons. An entry is kept until a daemon with the same name starts later. */
export class MemberTable {
  private readonly byName = new Map<string, Member>();

  private readonly byHost = new Map<string, Member>();

  private readonly rankings = new Map<string, readonly Member[]>();

  private cachedDigest: string | undefined;

  constructor(readonly self: Member) {
    this.add(self);
  }

  /** Digest of the names and hosts of all daemons; daemons compare it to detect missing members. */
  get digest(): string {
    if (this.cachedDigest === undefined) {
      const lines = [...this.byName.values()].map(({ name, host }) => `${name} ${host}`).sort();
      this.cachedDigest = hashing.hashText64(lines.join('\n')).toString(RADIX);
    }
    return this.cachedDigest;
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
    this.cachedDigest = undefined;
    return true;
  }

  /** Returns the daemons in order of preference for a role: by CPU capacity, then by zone, then by hash. */
  rank({ name: roleName, zone }: Role): readonly Member[] {
    let ranking = this.rankings.get(roleName);
    if (ranking === undefined) {
      const hashed = hashing.rankMembers(roleName, this.byName.values(), ({ name }) => name);
      const isNear = (member: Member): number => (member.zone === zone ? 1 : 0);
      ranking = hashed.sort(
        (left, right) =>
          computeCapacityClass(right) - computeCapacityClass(left) || isNear(right) - isNear(left),
      );
      this.rankings.set(roleName, ranking);
    }
    return ranking;
  }
}
