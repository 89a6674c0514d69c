/**
 * The slots of a backend server and its own first-in, first-out queue.
 */

interface Waiter {
  readonly grant: (granted: boolean) => void;
  readonly signal: AbortSignal;
}

/** Grants slots in the order of arrival. */
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

  /** Waits for a slot; false when the signal was aborted first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) {
      return false;
    }
    if (this.running < this.slots) {
      this.running += 1;
      return true;
    }
    return new Promise((resolve) => {
      const waiter: Waiter = { grant: resolve, signal };
      this.waiters.push(waiter);
      signal.addEventListener('abort', () => this.drop(waiter), { once: true });
    });
  }

  release(): void {
    const next = this.waiters.shift();
    if (next === undefined) {
      this.running -= 1;
      return;
    }
    next.grant(true);
  }

  private drop(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index >= 0) {
      this.waiters.splice(index, 1);
      waiter.grant(false);
    }
  }
}
