/**
 * 32-bit digests that identify an incarnation of a member in messages that list many members. Among
 * some thousand members, collisions are rare; after one, a member shows the revision of another.
 */
import * as hashing from '@dogwoodstall/hashing';
import type * as peerLink from '@dogwoodstall/peer-link';

/** The fields that identify an incarnation of a member. */
type Identity = Pick<peerLink.MemberUpdate, 'name' | 'incarnation'>;

/** Returns the digest of an incarnation. */
export function digestMember({ name, incarnation }: Identity): number {
  return hashing.hashText32(`${name}\u0000${incarnation}`);
}

/** Index of the known members by digest. */
export class MemberDigests {
  private readonly names = new Map<number, string>();

  /** Adds a member and removes its previous incarnation. */
  update(member: Identity, previous: Identity | undefined): void {
    if (previous?.incarnation !== member.incarnation) {
      this.remove(previous);
      this.names.set(digestMember(member), member.name);
    }
  }

  /** Removes a member. */
  remove(member: Identity | undefined): void {
    if (member !== undefined) {
      this.names.delete(digestMember(member));
    }
  }

  /** Returns the name of the member with a digest. */
  findName(digest: number): string | undefined {
    return this.names.get(digest);
  }
}
