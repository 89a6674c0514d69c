/**
 * The endpoints that have told this daemon to send them no requests, because they are about to stop or want a pause.
 * Checked for each grant, since the dispatcher may not know it: its reports may be lost, or it may have just taken over.
 */
import type { Announcement } from '@dogwoodstall/traffic';

/** Time for which an endpoint that is about to stop is remembered; it ends long before. */
const LEAVING_MILLISECONDS = 600_000;
/** The oldest entry is evicted first. */
const MAXIMUM_ENTRIES = 4096;

interface Hold {
  readonly lifetime: number;
  readonly announcedAt: number;
  readonly leavingUntil: number;
  readonly pausedUntil: number;
}

/** Why an endpoint is not used. */
export interface HoldReason {
  readonly reason: 'leaving' | 'pause' | 'draining';
  /** Milliseconds since the endpoint announced it; 0 for `draining`, which the store lists. */
  readonly age: number;
  /** What the dispatcher is told. */
  readonly announcement: Announcement;
}

/** Remembers the announcements that this daemon itself received. */
export class AnnouncedHolds {
  private readonly holds = new Map<string, Hold>();

  /**
   * Records what a process of an endpoint announced in a response; `lifetime` is 0 if it is not known. Returns whether
   * the endpoint has not told so before.
   */
  record(endpoint: string, lifetime: number, announcement: Announcement, now: number): boolean {
    const { leaving, pauseMilliseconds } = announcement;
    if (!leaving && pauseMilliseconds === 0) {
      return false;
    }
    const known = this.find(endpoint, lifetime);
    this.holds.delete(endpoint);
    this.holds.set(endpoint, {
      lifetime,
      announcedAt: now,
      leavingUntil: leaving ? now + LEAVING_MILLISECONDS : (known?.leavingUntil ?? -Infinity),
      pausedUntil: Math.max(now + pauseMilliseconds, known?.pausedUntil ?? -Infinity),
    });
    if (this.holds.size > MAXIMUM_ENTRIES) {
      this.holds.delete(this.holds.keys().next().value as string);
    }
    return pauseMilliseconds > 0 || now >= (known?.leavingUntil ?? -Infinity);
  }

  /** Returns why this daemon may not use an endpoint now; undefined if it may. */
  check(endpoint: string, lifetime: number, now: number): HoldReason | undefined {
    const hold = this.find(endpoint, lifetime);
    if (hold === undefined) {
      return undefined;
    }
    const leaving = now < hold.leavingUntil;
    const pauseMilliseconds = Math.max(0, hold.pausedUntil - now);
    if (!leaving && pauseMilliseconds === 0) {
      this.holds.delete(endpoint);
      return undefined;
    }
    return {
      reason: leaving ? 'leaving' : 'pause',
      age: now - hold.announcedAt,
      announcement: { requestsPerSecond: null, leaving, pauseMilliseconds },
    };
  }

  // Dispatchers of an older version do not tell the lifetime; an unknown one matches any.
  private find(endpoint: string, lifetime: number): Hold | undefined {
    const hold = this.holds.get(endpoint);
    const isSame =
      hold !== undefined && (hold.lifetime === lifetime || hold.lifetime === 0 || lifetime === 0);
    return isSame ? hold : undefined;
  }
}
