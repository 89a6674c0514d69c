/**
 * A token bucket for the requests of one endpoint that announces how many it accepts.
 */

/** Tokens that an unused bucket keeps: a whole request, and what accrues in this time. */
const BURST_MILLISECONDS = 250;
/** An endpoint that accepts less is still sent requests at this rate, since only a response shows that its limit ended. */
const MINIMUM_PER_SECOND = 0.5;

/** Limits the requests per second of one endpoint. */
export class RequestRateLimit {
  private perSecond: number;

  /** Starts empty, because other requests were sent before the limit was known. */
  private tokens = 0;

  constructor(
    perSecond: number,
    private refilledAt: number,
  ) {
    this.perSecond = Math.max(MINIMUM_PER_SECOND, perSecond);
  }

  /** Changes the rate from now on. */
  setRate(perSecond: number, now: number): void {
    this.refill(now);
    this.perSecond = Math.max(MINIMUM_PER_SECOND, perSecond);
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

  /** Requests per millisecond that the bucket allows in the long run. */
  get perMillisecond(): number {
    return this.perSecond / 1000;
  }

  private refill(now: number): void {
    const capacity = 1 + this.perMillisecond * BURST_MILLISECONDS;
    const elapsed = Math.max(0, now - this.refilledAt);
    this.tokens = Math.min(capacity, this.tokens + elapsed * this.perMillisecond);
    this.refilledAt = now;
  }
}
