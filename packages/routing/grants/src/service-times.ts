/**
 * The mean service time of each route: an exponential moving average over successful attempts.
 */

/** Weight of a new sample in the moving average. */
const NEW_WEIGHT = 0.06;
/** Samples are capped at this multiple of the mean, so that the tail does not dominate it. */
const LONGEST_MULTIPLE = 2.5;
/** Initial estimate as a share of the route's target latency. */
const FIRST_SHARE_OF_TARGET = 0.25;

/** Tracks the mean service time by route. */
export class ServiceTimes {
  private readonly means = new Map<string, number>();

  /** Returns the mean service time of a route in milliseconds, or an estimate if there are no samples. */
  expect(route: string, targetMilliseconds: number): number {
    return this.means.get(route) ?? targetMilliseconds * FIRST_SHARE_OF_TARGET;
  }

  /** Adds the service time of a successful attempt. */
  add(route: string, targetMilliseconds: number, milliseconds: number): void {
    const mean = this.expect(route, targetMilliseconds);
    const sample = Math.min(milliseconds, mean * LONGEST_MULTIPLE);
    this.means.set(route, mean + (sample - mean) * NEW_WEIGHT);
  }
}
