/**
 * The precedence of updates about one member. The result does not depend on the order of arrival: the
 * update with the highest incarnation, then counter, then state takes precedence, and the revision is
 * the highest one received for its incarnation.
 */
import type * as peerLink from '@dogwoodstall/peer-link';

// A leaving member is not suspected; when it no longer responds, it becomes failed.
const stateRanks = { alive: 0, suspect: 1, leaving: 2, failed: 3 } as const;

/** Compares two updates about one member; positive when the left one takes precedence. */
export function compareUpdates(left: peerLink.MemberUpdate, right: peerLink.MemberUpdate): number {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation - right.incarnation;
  }
  if (left.counter !== right.counter) {
    return left.counter - right.counter;
  }
  return stateRanks[left.state] - stateRanks[right.state];
}

/** Returns the state of a member after an update. */
export function mergeUpdate(
  known: peerLink.MemberUpdate | undefined,
  update: peerLink.MemberUpdate,
): peerLink.MemberUpdate {
  if (known === undefined) {
    return update;
  }
  const winner = compareUpdates(update, known) > 0 ? update : known;
  if (update.incarnation !== known.incarnation) {
    return winner;
  }
  const revision = Math.max(update.revision, known.revision);
  return winner.revision === revision ? winner : { ...winner, revision };
}
