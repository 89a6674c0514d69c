/**
 * Counts requests in flight, so that graceful shutdown can wait for the last one.
 */

/** Counter with a promise for the moment it drops to zero. */
export class InFlightCounter {
  private current = 0;

  private waiters: (() => void)[] = [];

  get count(): number {
    return this.current;
  }

  increment(): void {
    this.current += 1;
  }

  decrement(): void {
    this.current -= 1;
    if (this.current === 0) {
      const { waiters } = this;
      this.waiters = [];
      for (const wake of waiters) {
        wake();
      }
    }
  }

  /** Resolves when no request is in flight. */
  whenIdle(): Promise<void> {
    if (this.current === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }
}
