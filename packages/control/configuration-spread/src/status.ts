/**
 * The revision in force in each zone, from what members announce.
 */
import type * as membership from '@dogwoodstall/membership';

/** The state of one zone. */
export interface ZoneStatus {
  readonly zone: string;
  /** The lowest revision in force in the zone. */
  readonly revision: number;
  readonly members: number;
  /** Names of the members below the highest revision known. */
  readonly lagging: readonly string[];
}

/** What a daemon knows about the spread of the configuration. */
export interface SpreadStatus {
  /** The revision in force in this daemon. */
  readonly revision: number;
  /** The highest revision known. */
  readonly highestRevision: number;
  /** Time since the store was last read by this daemon or by one that it heard from. */
  readonly storeAgeMilliseconds: number | undefined;
  readonly zones: readonly ZoneStatus[];
}

/** Summarises the revisions that members announce. */
export function summariseZones(
  members: readonly membership.Member[],
  highestRevision: number,
): ZoneStatus[] {
  const zones = new Map<string, membership.Member[]>();
  for (const member of members) {
    zones.set(member.zone, [...(zones.get(member.zone) ?? []), member]);
  }
  return [...zones].map(([zone, group]) => ({
    zone,
    revision: Math.min(...group.map((member) => member.revision)),
    members: group.length,
    lagging: group
      .filter((member) => member.revision < highestRevision)
      .map((member) => member.name),
  }));
}
