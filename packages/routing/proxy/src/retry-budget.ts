/**
 * Retry budgets: a token bucket per service, which keeps retries from multiplying the load on a
 * failing service.
 */

/** Capacity and initial fill of a bucket: the retries available before first attempts earn more. */
const MAXIMUM_TOKENS = 10;

/** The token buckets of all services. */
export class RetryBudget {
  private readonly tokens = new Map<string, number>();

  /** Adds the fraction of a token that a first attempt earns. */
  deposit(service: string, share: number): void {
    const tokens = this.tokens.get(service) ?? MAXIMUM_TOKENS;
    this.tokens.set(service, Math.min(MAXIMUM_TOKENS, tokens + share));
  }

  /** Takes a token for one retry; returns false if the budget is exhausted. */
  take(service: string): boolean {
    const tokens = this.tokens.get(service) ?? MAXIMUM_TOKENS;
    if (tokens < 1) {
      return false;
    }
    this.tokens.set(service, tokens - 1);
    return true;
  }
}
