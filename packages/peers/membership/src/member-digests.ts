/**
 * Short numbers that stand for an incarnation of a member in messages that name many members. Two of
 * some thousand members rarely share a number; then one of them shows the revision of the other.
 */
import * as hashing from '@dogwoodstall/hashing';
import type * as peerLink from '@dogwoodstall/peer-link';

/** What identifies an incarnation of a member. */
type Identity = Pick<peerLink.MemberUpdate, 'name' | 'incarnation'>;

/** Returns the number of an incarnation. */
export function digestMember({ name, incarnation }: Identity): number {
  return hashing.hashTextShort(`${name}\u0000${incarnation}`);
}

/** The numbers of known members. */
export class MemberDigests {
  private readonly names = new Map<number, string>();

  /** Takes in a member, and drops its earlier incarnation. */
  update(member: Identity, previous: Identity | undefined): void {
    if (previous?.incarnation !== member.incarnation) {
      this.remove(previous);
      this.names.set(digestMember(member), member.name);
    }
  }

  /** Drops a member that is gone. */
  remove(member: Identity | undefined): void {
    if (member !== undefined) {
      this.names.delete(digestMember(member));
    }
  }

  /** Returns the name of a member by its number. */
  findName(digest: number): string | undefined {
    return this.names.get(digest);
  }
}
