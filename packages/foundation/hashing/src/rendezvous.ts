/**
 * Rendezvous (highest random weight) hashing: if a member is removed, only the keys that it owned are reassigned.
 */
import { hashText32 } from './hash.js';

interface ScoredMember<Member> {
  readonly member: Member;
  readonly name: string;
  readonly score: number;
}

function compareScores<Member>(left: ScoredMember<Member>, right: ScoredMember<Member>): number {
  if (left.score !== right.score) {
    return right.score - left.score;
  }
  return left.name < right.name ? -1 : 1;
}

/**
 * Ranks members for a key, starting with the owner. Members with equal scores are ordered by name, so that all daemons
 * with the same members compute the same ranking.
 */
export function rankMembers<Member>(
  key: string,
  members: Iterable<Member>,
  nameOf: (member: Member) => string,
): Member[] {
  const scored: ScoredMember<Member>[] = [];
  for (const member of members) {
    const name = nameOf(member);
    scored.push({ member, name, score: hashText32(`${name}\u0000${key}`) });
  }
  scored.sort(compareScores);
  return scored.map((entry) => entry.member);
}

/** Whether `rankMembers` ranks the member with the first name before that with the second one. */
export function ranksBefore(key: string, first: string, second: string): boolean {
  const difference = hashText32(`${first}\u0000${key}`) - hashText32(`${second}\u0000${key}`);
  return difference > 0 || (difference === 0 && first < second);
}

/**
 * Assigns a name to one of `count` groups. If a group is added, only the names that are assigned to it change their
 * group.
 */
export function assignGroup(name: string, count: number): number {
  let best = 0;
  let bestScore = -1;
  for (let group = 0; group < count; group += 1) {
    const score = hashText32(name, group);
    if (score > bestScore) {
      best = group;
      bestScore = score;
    }
  }
  return best;
}

/** Hashes a name to a uniformly distributed number in [0, 1). */
export function hashToUnitInterval(name: string): number {
  return hashText32(name) / 2 ** 32;
}
