/**
 * The daemons of the fleet and their ranking for each service.
 */
import * as hashing from '@dogwoodstall/hashing';
import * as z from 'zod';

/** A daemon as others reach it. */
export const memberSchema = z.object({
  name: z.string(),
  zone: z.string(),
  host: z.string(),
  datagramPort: z.number().int(),
  /** `IP address:port` of the state page. */
  peerAddress: z.string(),
  /** Epoch milliseconds of the start; a later start replaces an earlier one under the same name. */
  startedAt: z.number(),
});

export type Member = z.infer<typeof memberSchema>;

const RADIX = 36;

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
      this.digestText = hashing.hashText(lines.join('\n')).toString(RADIX);
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

  /** Returns the daemons in the order in which they dispatch a service. */
  rank(service: string): readonly Member[] {
    let ranking = this.rankings.get(service);
    if (ranking === undefined) {
      ranking = hashing.rankMembers(service, this.byName.values(), ({ name }) => name);
      this.rankings.set(service, ranking);
    }
    return ranking;
  }
}
