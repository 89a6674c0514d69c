/**
 * What one endpoint has announced about itself to any daemon of the fleet, as far as a dispatcher knows.
 */
import type { Announcement } from '@dogwoodstall/traffic';

/** The announcements that concern the whole fleet. */
export type FleetAnnouncement = Pick<Announcement, 'requestsPerSecond' | 'leaving'>;

const NOTHING: FleetAnnouncement = { requestsPerSecond: null, leaving: false };

/** The announcements of one endpoint that are in force. */
export class AnnouncedState {
  private announcement = NOTHING;

  /** Time of the last response or report that stated what is in force. */
  private confirmedAt = -Infinity;

  /** Time at which the request was sent whose response last ended a limit. */
  private endedAt = -Infinity;

  /** What is in force. */
  get current(): FleetAnnouncement {
    return this.announcement;
  }

  /** Requests per second that the endpoint accepts from all daemons together; null without a limit. */
  get requestsPerSecond(): number | null {
    return this.announcement.requestsPerSecond;
  }

  /** Whether the endpoint is about to stop. */
  get leaving(): boolean {
    return this.announcement.leaving;
  }

  /** Whether nothing is in force. */
  get isEmpty(): boolean {
    return this.requestsPerSecond === null && !this.leaving;
  }

  /** Time of the evidence for the limit that is in force, or for the end of the last one. */
  get evidenceAt(): number {
    return this.requestsPerSecond === null ? this.endedAt : this.confirmedAt;
  }

  /**
   * Applies what a response announced; `sentAt` is when its request was granted. A response without a limit ends one
   * only if its request was granted after the limit was confirmed, because reports arrive in any order. An endpoint that
   * leaves does not come back. Returns whether anything changed.
   */
  apply({ requestsPerSecond, leaving }: FleetAnnouncement, sentAt: number, now: number): boolean {
    const previous = this.announcement;
    const mayEnd = sentAt > this.confirmedAt;
    if (requestsPerSecond !== null || leaving) {
      this.confirmedAt = now;
    } else if (mayEnd && previous.requestsPerSecond !== null) {
      this.endedAt = sentAt;
    }
    return this.replace({
      requestsPerSecond: requestsPerSecond ?? (mayEnd ? null : previous.requestsPerSecond),
      leaving: leaving || previous.leaving,
    });
  }

  /** Merges what another dispatcher knew by evidence of the given time; older evidence changes nothing. */
  merge({ requestsPerSecond, leaving }: FleetAnnouncement, evidenceAt: number): boolean {
    const previous = this.announcement;
    const isNewer = evidenceAt > Math.max(this.confirmedAt, this.endedAt);
    if (isNewer && requestsPerSecond !== null) {
      this.confirmedAt = evidenceAt;
    } else if (isNewer) {
      this.endedAt = evidenceAt;
    }
    return this.replace({
      requestsPerSecond: isNewer ? requestsPerSecond : previous.requestsPerSecond,
      leaving: leaving || previous.leaving,
    });
  }

  private replace(next: FleetAnnouncement): boolean {
    const previous = this.announcement;
    const hasChanged =
      next.requestsPerSecond !== previous.requestsPerSecond || next.leaving !== previous.leaving;
    if (hasChanged) {
      this.announcement = next;
    }
    return hasChanged;
  }

  /** Forgets everything, for a new process of the endpoint. */
  clear(): void {
    this.announcement = NOTHING;
    this.confirmedAt = -Infinity;
    this.endedAt = -Infinity;
  }
}
