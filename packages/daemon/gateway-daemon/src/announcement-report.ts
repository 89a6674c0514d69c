/**
 * What a dispatcher tells its standbys about the announcements of a cell's endpoints.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import type * as grants from '@dogwoodstall/grants';

/** The part of a pong that concerns the announcements of a cell. */
export type AnnouncementReport = Pick<
  datagrams.Pong['cells'][number],
  'announcements' | 'announcementAges' | 'endedLimits'
>;

/** Age of evidence that there never was; older than any other. */
const NO_EVIDENCE_MILLISECONDS = 1_000_000_000;

/** Encodes the announcements that are in force and the limits that ended recently. */
export function encodeAnnouncements(
  relayed: readonly grants.RelayedAnnouncement[],
): Required<AnnouncementReport> {
  const report: Required<AnnouncementReport> = {
    announcements: [],
    announcementAges: [],
    endedLimits: [],
  };
  for (const { endpoint, lifetime, requestsPerSecond, leaving, age } of relayed) {
    const roundedAge = Math.round(Math.min(NO_EVIDENCE_MILLISECONDS, Math.max(0, age)));
    if (requestsPerSecond === null && !leaving) {
      report.endedLimits.push([endpoint, lifetime, roundedAge]);
    } else {
      report.announcements.push([endpoint, lifetime, requestsPerSecond, leaving]);
      report.announcementAges.push(roundedAge);
    }
  }
  return report;
}

/** Decodes a report; older daemons tell no ages, so that their limits count as new. */
export function decodeAnnouncements({
  announcements = [],
  announcementAges = [],
  endedLimits = [],
}: AnnouncementReport): grants.RelayedAnnouncement[] {
  const inForce = announcements.map(([endpoint, lifetime, requestsPerSecond, leaving], index) => ({
    endpoint,
    lifetime,
    requestsPerSecond,
    leaving,
    age: announcementAges[index] ?? (requestsPerSecond === null ? NO_EVIDENCE_MILLISECONDS : 0),
  }));
  const ended = endedLimits.map(([endpoint, lifetime, age]) => ({
    endpoint,
    lifetime,
    requestsPerSecond: null,
    leaving: false,
    age,
  }));
  return [...inForce, ...ended];
}
