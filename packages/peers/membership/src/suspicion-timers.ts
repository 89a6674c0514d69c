/**
 * The timers of suspected members.
 */

/** Options of the timers. */
export interface SuspicionTimersOptions {
  /** From an own suspicion to the failure. */
  readonly milliseconds: number;
  /** Called in the middle of an own suspicion. */
  readonly confirm: (name: string) => void;
  readonly declareFailed: (name: string) => void;
}

// Only the member that suspects probes again before the failure. Members that heard of the suspicion
// wait longer for its result, so that not all of them probe the same member.
const RECEIVED_SUSPICION_FACTOR = 2;

/** The timers of suspected members. */
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

  /** Starts the timer of a suspicion that another member passed on. */
  startReceived(name: string): void {
    const { milliseconds, declareFailed } = this.options;
    this.start(name, milliseconds * RECEIVED_SUSPICION_FACTOR, () => declareFailed(name));
  }

  /** Ends the timer of a member. */
  cancel(name: string): void {
    clearTimeout(this.timers.get(name));
    this.timers.delete(name);
  }

  /** Ends all timers. */
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
