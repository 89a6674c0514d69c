/**
 * A fake clock with timers, for tests in virtual time.
 */

interface TimedCall {
  readonly at: number;
  readonly order: number;
  readonly call: () => void;
  cancelled: boolean;
}

/** Runs pending promise callbacks; three turns reach chained ones. */
async function runPromiseCallbacks(): Promise<void> {
  await Promise.resolve();
  await Promise.resolve();
  await Promise.resolve();
}

function comesBefore(left: TimedCall, right: TimedCall): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** Runs scheduled calls in the order of their virtual times. */
export class EventQueue {
  /** Current virtual time in milliseconds. */
  time = 0;

  private readonly heap: TimedCall[] = [];

  private count = 0;

  /** Returns the virtual time in milliseconds. */
  readonly now = (): number => this.time;

  /** Schedules a call after a delay; returns a function that cancels it. */
  readonly schedule = (call: () => void, milliseconds: number): (() => void) => {
    this.count += 1;
    const timed = { at: this.time + milliseconds, order: this.count, call, cancelled: false };
    this.push(timed);
    return () => {
      timed.cancelled = true;
    };
  };

  /** Runs all calls up to a virtual time, and pending promise callbacks after each call. */
  async runUntil(end: number): Promise<void> {
    for (;;) {
      const next = this.heap.at(0);
      if (next === undefined || next.at > end) {
        break;
      }
      this.pop();
      if (!next.cancelled) {
        this.time = next.at;
        next.call();
        await runPromiseCallbacks();
      }
    }
    this.time = end;
  }

  private push(timed: TimedCall): void {
    let index = this.heap.length;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = this.heap[parentIndex];
      if (parent === undefined || comesBefore(parent, timed)) {
        break;
      }
      this.heap[index] = parent;
      index = parentIndex;
    }
    this.heap[index] = timed;
  }

  private pop(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const left = this.heap[2 * index + 1];
      const right = this.heap[2 * index + 2];
      const useRight = left !== undefined && right !== undefined && comesBefore(right, left);
      const child = useRight ? right : left;
      if (child === undefined || comesBefore(last, child)) {
        break;
      }
      this.heap[index] = child;
      index = 2 * index + (useRight ? 2 : 1);
    }
    this.heap[index] = last;
  }
}
