/**
 * A token bucket for the requests of one endpoint that announces how many it accepts.
 */

/** Tokens that an unused bucket keeps: a whole request, and what accrues in this time. */
const BURST_MILLISECONDS = 1000;
/** An endpoint that accepts less is still sent requests at this rate, since only a response shows that its limit ended. */
const MINIMUM_PER_SECOND = 0.5;

/** Limits the requests per second of one endpoint. */
export class RequestRateLimit {
  /** Starts empty, because other requests were sent before the limit was known. */
  private tokens = 0;

  /** Share at the last refill. */
  private share: number;

  /** `getShare` returns the current share of the rate that this daemon may use. */
  constructor(
    private perSecond: number,
    private readonly getShare: () => number,
    private refilledAt: number,
  ) {
    this.share = getShare();
  }

  /** Changes the rate from now on. */
  setRate(perSecond: number, now: number): void {
    this.refill(now);
    this.perSecond = perSecond;
  }

  /** Number of requests that may be sent now. */
  countAllowed(now: number): number {
    this.refill(now);
    return Math.floor(this.tokens);
  }

  /** Takes the token of one request. */
  take(now: number): void {
    this.refill(now);
    this.tokens -= 1;
  }

  /** Removes all tokens, because another dispatcher has used them. */
  drain(now: number): void {
    this.refill(now);
    this.tokens = Math.min(0, this.tokens);
  }

  /** Requests per millisecond that the bucket allows in the long run. */
  get perMillisecond(): number {
    return (Math.max(MINIMUM_PER_SECOND, this.perSecond) * this.getShare()) / 1000;
  }

  // After its share has changed, a daemon gets no more for the past than the lower of both.
  private refill(now: number): void {
    const share = this.getShare();
    const perMillisecond =
      (Math.max(MINIMUM_PER_SECOND, this.perSecond) * Math.min(share, this.share)) / 1000;
    const capacity = 1 + this.perMillisecond * BURST_MILLISECONDS;
    const elapsed = Math.max(0, now - this.refilledAt);
    this.tokens = Math.min(capacity, this.tokens + elapsed * perMillisecond);
    this.refilledAt = now;
    this.share = share;
  }
}
