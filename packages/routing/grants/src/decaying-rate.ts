/**
 * A rate in which older amounts count less.
 */

/** An exponential moving average of amounts per millisecond. */
export class DecayingRate {
  private value = 0;

  constructor(
    private readonly timeConstant: number,
    private updatedAt: number,
  ) {}

  /** Adds an amount. */
  add(amount: number, now: number): void {
    this.value = this.at(now) + amount / this.timeConstant;
    this.updatedAt = now;
  }

  /** Returns the mean amount per millisecond. */
  at(now: number): number {
    return this.value * Math.exp(-Math.max(0, now - this.updatedAt) / this.timeConstant);
  }
}
