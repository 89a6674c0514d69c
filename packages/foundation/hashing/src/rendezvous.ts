/**
 * Rendezvous (highest random weight) hashing: when one member leaves, only what it owned moves.
 */
import { hashText32 } from './hash.js';

interface Scored<Member> {
  readonly member: Member;
  readonly name: string;
  readonly score: number;
}

function compareScores<Member>(left: Scored<Member>, right: Scored<Member>): number {
  if (left.score !== right.score) {
    return right.score - left.score;
  }
  return left.name < right.name ? -1 : 1;
}

/**
 * Ranks members for a key, the owner first. Equal scores are ordered by name, so that two daemons
 * with the same members always agree.
 */
export function rankMembers<Member>(
  key: string,
  members: Iterable<Member>,
  nameOf: (member: Member) => string,
): Member[] {
  const scored: Scored<Member>[] = [];
  for (const member of members) {
    const name = nameOf(member);
    scored.push({ member, name, score: hashText32(`${name}\u0000${key}`) });
  }
  scored.sort(compareScores);
  return scored.map((entry) => entry.member);
}

/**
 * Assigns a name to one of `count` groups. When a group is added, only the names that it receives
 * move.
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

/** Maps a name evenly to a number from 0 to below 1. */
export function hashToUnitInterval(name: string): number {
  return hashText32(name) / 2 ** 32;
}
