/**
 * Retry budgets: a token bucket per service, so that retries can't multiply the load of a service
 * that is failing.
 */

/** Retries that a service may use before first attempts have paid for them. */
const MAXIMUM_TOKENS = 10;

/** Token buckets by service. */
export class RetryBudget {
  private readonly tokens = new Map<string, number>();

  /** Adds the share of a retry that a first attempt earns. */
  deposit(service: string, share: number): void {
    const tokens = this.tokens.get(service) ?? MAXIMUM_TOKENS;
    this.tokens.set(service, Math.min(MAXIMUM_TOKENS, tokens + share));
  }

  /** Takes one retry; returns false when the budget is used up. */
  take(service: string): boolean {
    const tokens = this.tokens.get(service) ?? MAXIMUM_TOKENS;
    if (tokens < 1) {
      return false;
    }
    this.tokens.set(service, tokens - 1);
    return true;
  }
}
