/**
 * Selects the daemons that watch the store and the one of them that writes snapshots.
 */
import * as hashing from '@dogwoodstall/hashing';
import type * as membership from '@dogwoodstall/membership';

/** Watchers of the store in each zone. */
export const WATCHERS_PER_ZONE = 2;

const getName = (member: membership.Member): string => member.name;

/** Returns the members of a zone that watch the store. */
export function listWatchers(
  zone: string,
  members: readonly membership.Member[],
): membership.Member[] {
  const live = members.filter((member) => member.zone === zone && member.state === 'alive');
  return hashing
    .rankMembers(`configuration-watcher/${zone}`, live, getName)
    .slice(0, WATCHERS_PER_ZONE);
}

/** Returns whether a member watches the store. */
export function isWatcher(self: membership.Member, members: readonly membership.Member[]): boolean {
  return listWatchers(self.zone, members).some((member) => member.name === self.name);
}

/** Returns whether a member is the watcher that writes snapshots. */
export function isSnapshotWriter(
  self: membership.Member,
  members: readonly membership.Member[],
): boolean {
  const zones = new Set(members.map((member) => member.zone));
  const watchers = [...zones].flatMap((zone) => listWatchers(zone, members));
  return hashing.rankMembers('configuration-snapshot', watchers, getName)[0]?.name === self.name;
}
