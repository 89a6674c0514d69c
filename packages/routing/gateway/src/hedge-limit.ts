/**
 * Limits hedges to a share of requests by a token bucket that requests fill.
 */

/** Hedges that can be saved up for a failure, in addition to the share of the requests meanwhile. */
export const MAXIMUM_SAVED_HEDGES = 4;

/**
 * In any period, at most the share of its requests and `MAXIMUM_SAVED_HEDGES` more are hedged. The bucket is full at
 * first, since a daemon with few callers would need many seconds for its first hedge; after restarts the retry budget
 * is the limit.
 */
export class HedgeLimit {
  private tokens = MAXIMUM_SAVED_HEDGES;

  /** Counts a request that may be hedged; `share` is the number of hedges per request. */
  countRequest(share: number): void {
    this.tokens = Math.min(MAXIMUM_SAVED_HEDGES, this.tokens + share);
  }

  /** Consumes one hedge; returns whether one was left. */
  tryTake(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Returns a hedge that was not sent. */
  giveBack(): void {
    this.tokens = Math.min(MAXIMUM_SAVED_HEDGES, this.tokens + 1);
  }
}
