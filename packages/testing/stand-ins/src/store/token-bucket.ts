/**
 * Token bucket for the rate limits of the store stand-in.
 */

/** Limits calls to a rate per second; the bucket holds the calls of one second as a burst. */
export class TokenBucket {
  private tokens: number;

  private filledAt: number;

  constructor(perSecond: number, now: number) {
    this.tokens = perSecond;
    this.filledAt = now;
  }

  /** Takes one token; returns false when the rate is exceeded. `now` is in monotonic milliseconds. */
  take(perSecond: number, now: number): boolean {
    const refill = ((now - this.filledAt) / 1000) * perSecond;
    this.tokens = Math.min(perSecond, this.tokens + refill);
    this.filledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
