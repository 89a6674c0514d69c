/**
 * A clock whose time passes only from one scheduled call to the next.
 */

interface Call {
  readonly at: number;
  readonly run: () => void;
}

/** Runs calls in the order of their times. */
export class VirtualClock {
  now = 0;

  /** In the order of their times; those of equal times in the order in which they were scheduled. */
  private readonly calls: Call[] = [];

  /** Schedules a call after the given milliseconds. */
  schedule(milliseconds: number, run: () => void): void {
    const at = this.now + milliseconds;
    let low = 0;
    let high = this.calls.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.calls[middle] as Call).at <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.calls.splice(low, 0, { at, run });
  }

  /** Runs all calls, including those that are scheduled meanwhile. */
  run(): void {
    for (let call = this.calls.shift(); call !== undefined; call = this.calls.shift()) {
      this.now = call.at;
      call.run();
    }
  }
}
