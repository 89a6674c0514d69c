/**
 * Retry budgets with a fixed number of retries.
 */
import type * as gateway from '../src/index.js';

/** Records the requests and retries that a gateway counts. */
export class FixedRetryBudgets implements gateway.RetryBudgets {
  /** Services of the counted requests. */
  readonly counted: string[] = [];

  /** Retries that were taken and not given back. */
  taken = 0;

  private allowed = Infinity;

  /** Sets the number of retries that may be taken, which is not limited at first. */
  allow(retries: number): void {
    this.allowed = retries;
  }

  countRequest(service: string): void {
    this.counted.push(service);
  }

  mayProbe(): boolean {
    return this.canRetry();
  }

  hasReserve(): boolean {
    return this.canRetry();
  }

  canRetry(): boolean {
    return this.taken < this.allowed;
  }

  take(): (() => void) | undefined {
    if (!this.canRetry()) {
      return undefined;
    }
    this.taken += 1;
    return () => {
      this.taken -= 1;
    };
  }
}
