/**
 * The slots of a backend server stand-in and its FIFO queue for requests without a slot.
 */

interface Waiter {
  readonly settle: (granted: boolean) => void;
  readonly signal: AbortSignal;
}

/** Grants a fixed number of slots in the order of arrival. */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];

  private running = 0;

  private readonly slots: number;

  constructor(slots: number) {
    this.slots = slots;
  }

  get inFlight(): number {
    return this.running;
  }

  get queued(): number {
    return this.waiters.length;
  }

  /** Waits for a slot; resolves to false when the signal is aborted first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) {
      return false;
    }
    if (this.running < this.slots) {
      this.running += 1;
      return true;
    }
    return new Promise((resolve) => {
      const waiter: Waiter = { settle: resolve, signal };
      this.waiters.push(waiter);
      signal.addEventListener('abort', () => this.removeWaiter(waiter), { once: true });
    });
  }

  /** Frees a slot or passes it on to the longest-waiting request. */
  release(): void {
    const next = this.waiters.shift();
    if (next === undefined) {
      this.running -= 1;
      return;
    }
    next.settle(true);
  }

  private removeWaiter(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index >= 0) {
      this.waiters.splice(index, 1);
      waiter.settle(false);
    }
  }
}
