/**
 * The mean service time of each route, from successful answers.
 */

/** Weight of a new time in the mean. */
const NEW_WEIGHT = 0.06;
/** Longest time that counts, as a multiple of the mean, so that the tail does not set the mean. */
const LONGEST_MULTIPLE = 2.5;
/** First estimate as a share of the route's target. */
const FIRST_SHARE_OF_TARGET = 0.25;

/** Mean service times by route. */
export class ServiceTimes {
  private readonly means = new Map<string, number>();

  /** Returns the mean of a route in milliseconds. */
  expect(route: string, targetMilliseconds: number): number {
    return this.means.get(route) ?? targetMilliseconds * FIRST_SHARE_OF_TARGET;
  }

  /** Counts the time of a successful answer. */
  add(route: string, targetMilliseconds: number, milliseconds: number): void {
    const mean = this.expect(route, targetMilliseconds);
    const counted = Math.min(milliseconds, mean * LONGEST_MULTIPLE);
    this.means.set(route, mean + (counted - mean) * NEW_WEIGHT);
  }
}
