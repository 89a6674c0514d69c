/**
 * Rate limit of log lines.
 */

/** Capacity in seconds of the rate. */
const BURST_SECONDS = 2;

/** A token bucket that starts full. */
export class TokenBucket {
  private tokens: number;

  private refilledAt: number;

  constructor(
    private readonly perSecond: number,
    private readonly now: () => number = () => performance.now(),
  ) {
    this.tokens = perSecond * BURST_SECONDS;
    this.refilledAt = now();
  }

  /** Takes a token; returns false if there is none. */
  take(): boolean {
    const now = this.now();
    const refill = ((now - this.refilledAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.perSecond * BURST_SECONDS, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
