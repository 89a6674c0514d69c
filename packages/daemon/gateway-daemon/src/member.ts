/**
 * The daemons of the fleet and their ranking for each duty.
 */
import * as hashing from '@dogwoodstall/hashing';
import * as z from 'zod';
import { type GatewaySettings, splitAddress } from './settings.js';

/** A daemon as others reach it. */
export const memberSchema = z.object({
  name: z.string(),
  zone: z.string(),
  host: z.string(),
  datagramPort: z.number().int(),
  /** `IP address:port` of the state page. */
  peerAddress: z.string(),
  /** Processor cores that the daemon may use. */
  cores: z.number().positive(),
  /** Epoch milliseconds of the start; a later start replaces an earlier one under the same name. */
  startedAt: z.number(),
});

export type Member = z.infer<typeof memberSchema>;

/** Describes the daemon with the given settings, which starts now. */
export function describeMember({ name, zone, listen, limits }: GatewaySettings): Member {
  return {
    name,
    zone,
    host: splitAddress(listen.peer).host,
    datagramPort: listen.datagramPort,
    peerAddress: listen.peer,
    cores: limits.cores * limits.coreShare,
    startedAt: Date.now(),
  };
}

const RADIX = 36;

/** What daemons are ranked for. */
export interface Duty {
  readonly name: string;
  /** Zone in which the duty is best performed; undefined when it does not matter. */
  readonly zone: string | undefined;
}

/** The duty of following the store. Names of cells begin with a service's name. */
export const STORE_DUTY: Duty = { name: '@store', zone: undefined };

// Machines of about the same strength share the duties.
function rateStrength({ cores }: Member): number {
  return Math.round(Math.log2(cores));
}

/** The known daemons. A daemon stays known until its name starts elsewhere. */
export class MemberTable {
  private readonly byName = new Map<string, Member>();

  private readonly rankings = new Map<string, readonly Member[]>();

  private digestText: string | undefined;

  constructor(readonly self: Member) {
    this.add(self);
  }

  /** Digest of the whole table; equal digests mean equal tables. */
  get digest(): string {
    if (this.digestText === undefined) {
      const lines = [...this.byName.values()].map(({ name, host }) => `${name} ${host}`).sort();
      this.digestText = hashing.hashText64(lines.join('\n')).toString(RADIX);
    }
    return this.digestText;
  }

  list(): Member[] {
    return [...this.byName.values()];
  }

  /** Adds or replaces a daemon; returns whether the table changed. */
  add(member: Member): boolean {
    const known = this.byName.get(member.name);
    const isSelf = member.name === this.self.name && member !== this.self;
    if (isSelf || (known !== undefined && known.startedAt >= member.startedAt)) {
      return false;
    }
    this.byName.set(member.name, member);
    this.rankings.clear();
    this.digestText = undefined;
    return true;
  }

  /** Returns the daemons in the order in which they perform a duty: strong machines first, then those of the zone. */
  rank({ name: duty, zone }: Duty): readonly Member[] {
    let ranking = this.rankings.get(duty);
    if (ranking === undefined) {
      const hashed = hashing.rankMembers(duty, this.byName.values(), ({ name }) => name);
      const isNear = (member: Member): number => (member.zone === zone ? 1 : 0);
      ranking = hashed.sort(
        (left, right) => rateStrength(right) - rateStrength(left) || isNear(right) - isNear(left),
      );
      this.rankings.set(duty, ranking);
    }
    return ranking;
  }
}
