/**
 * Requests that a daemon admits while it reaches no keeper: a fixed number in any window.
 */

/** Admissions of one organisation in the last window. */
export class OwnAllowance {
  private admittedAt: number[] = [];

  /** Nothing is admitted in the first window of a process, in which its predecessor may have used all. */
  constructor(private readonly startedAt: number) {}

  tryTake(allowance: number, windowMilliseconds: number, now: number): boolean {
    this.admittedAt = this.admittedAt.filter((at) => now - at <= windowMilliseconds);
    if (now - this.startedAt <= windowMilliseconds || this.admittedAt.length >= allowance) {
      return false;
    }
    this.admittedAt.push(now);
    return true;
  }
}
