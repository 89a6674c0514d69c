/**
 * Detects that this process did not run for some time: it was stopped by a signal, its VM was suspended, or it got no
 * processor time.
 *
 * The steady clock may stand still while a VM is suspended, so the wall clock is compared as well. A step of the wall
 * clock looks the same, therefore a detected suspension is only a reason to verify what this process knows.
 */

/** Time between two checks above which the process counts as suspended. */
const SUSPENSION_MILLISECONDS = 1000;
const CHECK_MILLISECONDS = 200;

/** A time for which the process did not run. */
export interface Suspension {
  /** Milliseconds between the last check before it and the first after it, by either clock. */
  readonly steadyMilliseconds: number;
  readonly wallMilliseconds: number;
}

/** Options of `SuspensionDetector`. */
export interface SuspensionDetectorOptions {
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
  /** Returns milliseconds of the time of day. */
  readonly wallClock: () => number;
  /** Called once after each suspension. */
  readonly onResume: (suspension: Suspension) => void;
}

/** Compares the clocks at each check with those of the last one. */
export class SuspensionDetector {
  private steadyAt: number;

  private wallAt: number;

  private latestResumeAt = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: SuspensionDetectorOptions) {
    this.steadyAt = options.now();
    this.wallAt = options.wallClock();
  }

  start(): void {
    this.steadyAt = this.options.now();
    this.wallAt = this.options.wallClock();
    this.timer = setInterval(() => this.check(), CHECK_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Detects a suspension since the last check. Whatever arrived in the meantime is processed before timers, so callers
   * check before they act on it.
   */
  check(): void {
    const steady = this.options.now();
    const wall = this.options.wallClock();
    const suspension = {
      steadyMilliseconds: steady - this.steadyAt,
      wallMilliseconds: wall - this.wallAt,
    };
    this.steadyAt = steady;
    this.wallAt = wall;
    const { steadyMilliseconds, wallMilliseconds } = suspension;
    if (Math.max(steadyMilliseconds, wallMilliseconds) > SUSPENSION_MILLISECONDS) {
      this.latestResumeAt = steady;
      this.options.onResume(suspension);
    }
  }

  /** Monotonic milliseconds at which the process resumed after its latest suspension; -Infinity without any. */
  get resumedAt(): number {
    return this.latestResumeAt;
  }
}
