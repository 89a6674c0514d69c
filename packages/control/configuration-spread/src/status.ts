/**
 * Summarises the active revision in each zone from the announcements of members.
 */
import type * as membership from '@dogwoodstall/membership';

/** The configuration status of one zone. */
export interface ZoneStatus {
  readonly zone: string;
  /** The lowest active revision in the zone. */
  readonly revision: number;
  readonly members: number;
  /** Names of the members below the highest known revision. */
  readonly lagging: readonly string[];
}

/** The distribution of the configuration as known to one daemon. */
export interface DistributionStatus {
  /** The active revision of this daemon. */
  readonly revision: number;
  /** The highest known revision. */
  readonly highestRevision: number;
  /** Time since the store was last read by this daemon or by a peer that reported a read. */
  readonly storeAgeMilliseconds: number | undefined;
  readonly zones: readonly ZoneStatus[];
}

/** Summarises the revisions that members announce, by zone. */
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
