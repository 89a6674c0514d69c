/**
 * What endpoints announce about themselves in their responses.
 */
import * as z from 'zod';

/** The announcements in one response of an endpoint. */
export const announcementSchema = z.object({
  /** Requests per second that the endpoint accepts from all daemons together; null without a limit. */
  requestsPerSecond: z.number().nonnegative().nullable(),
  /** Whether the endpoint is about to stop and wants no further requests from any daemon. */
  leaving: z.boolean(),
  /** Time from the response for which the endpoint wants no requests from the daemon that it answered; 0 for none. */
  pauseMilliseconds: z.number().nonnegative(),
});

export type Announcement = z.infer<typeof announcementSchema>;

/** Whether the response announced nothing. */
export function isEmptyAnnouncement(announcement: Announcement): boolean {
  const { requestsPerSecond, leaving, pauseMilliseconds } = announcement;
  return requestsPerSecond === null && !leaving && pauseMilliseconds === 0;
}

/** The announcement of a response that announces nothing. */
export const noAnnouncement: Announcement = {
  requestsPerSecond: null,
  leaving: false,
  pauseMilliseconds: 0,
};
