/**
 * Timers that declare suspected members failed unless the suspicion is refuted.
 */

/** Options of `SuspicionTimers`. */
export interface SuspicionTimersOptions {
  /** Time from a suspicion of this daemon to the failure. */
  readonly milliseconds: number;
  /** Called after half of that time, to probe the member again. */
  readonly confirm: (name: string) => void;
  readonly declareFailed: (name: string) => void;
}

// Only the suspecting member probes again before the failure. Members that received the suspicion
// wait longer for the outcome, so that not all of them probe the same member.
const RECEIVED_SUSPICION_FACTOR = 2;

/** The timers of all suspected members. */
export class SuspicionTimers {
  private readonly options: SuspicionTimersOptions;

  private readonly timers = new Map<string, NodeJS.Timeout>();

  constructor(options: SuspicionTimersOptions) {
    this.options = options;
  }

  /** Starts the timer of a suspicion of this daemon. */
  startOwn(name: string): void {
    const half = this.options.milliseconds / 2;
    this.start(name, half, () => {
      this.start(name, half, () => this.options.declareFailed(name));
      this.options.confirm(name);
    });
  }

  /** Starts the timer of a suspicion that was received from another member. */
  startReceived(name: string): void {
    const { milliseconds, declareFailed } = this.options;
    this.start(name, milliseconds * RECEIVED_SUSPICION_FACTOR, () => declareFailed(name));
  }

  /** Cancels the timer of a member. */
  cancel(name: string): void {
    clearTimeout(this.timers.get(name));
    this.timers.delete(name);
  }

  /** Cancels all timers. */
  clear(): void {
    for (const name of [...this.timers.keys()]) {
      this.cancel(name);
    }
  }

  private start(name: string, milliseconds: number, run: () => void): void {
    this.cancel(name);
    const timer = setTimeout(() => {
      this.timers.delete(name);
      run();
    }, milliseconds);
    this.timers.set(name, timer);
  }
}
