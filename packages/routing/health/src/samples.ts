/**
 * The recent outcomes of one endpoint, oldest first and limited in number.
 */

/** Flags of an outcome that the comparison with peers counts. */
export interface OutcomeFlags {
  /** Server error, timeout, reset, truncated response, refused connection or shed request. */
  readonly failed: boolean;
  /** Slower than `SLOW_FACTOR` times the median of the route. */
  readonly slow: boolean;
  /** Slower than `VERY_SLOW_FACTOR` times the median of the route. */
  readonly verySlow: boolean;
  /** Slower than `SLOW_FACTOR` times the endpoint's own baseline. */
  readonly slowerThanPast: boolean;
}

/** The flags of an outcome that is not adverse. */
export const noFlags: OutcomeFlags = {
  failed: false,
  slow: false,
  verySlow: false,
  slowerThanPast: false,
};

/** Returns whether an outcome counts against the endpoint. */
export function isAdverse(flags: OutcomeFlags): boolean {
  return flags.failed || flags.slow || flags.slowerThanPast;
}

/** A service time relative to those of its route. */
export interface RelativeTime {
  /** Negative logarithm of the probability that a request takes at least this long. */
  readonly surprise: number;
  /** Logarithm of the ratio of the time to the route's median. */
  readonly logarithm: number;
}

/** One recorded outcome. */
export interface Sample {
  readonly at: number;
  readonly routeName: string;
  /** Key of route, size class and group of organisations; outcomes are compared within it only. */
  readonly stratum: string;
  readonly flags: OutcomeFlags;
  /** Undefined when the time isn't comparable, as during a cold start. */
  readonly time?: RelativeTime | undefined;
}

/** Limit per endpoint; covers the longest window at 20 to 200 requests/s. */
const MAXIMUM_SAMPLES = 1024;

/** Samples dropped in one batch when the list is full, for an amortised cost of O(1) per sample. */
const DROPPED_SAMPLES = 256;

/** List of the latest samples of one endpoint. */
export class SampleList {
  private samples: Sample[] = [];

  /** Appends a sample, whose `at` must not be lower than that of the previous one. */
  add(sample: Sample): void {
    if (this.samples.length >= MAXIMUM_SAMPLES) {
      this.samples.splice(0, DROPPED_SAMPLES);
    }
    this.samples.push(sample);
  }

  /** Number of samples. */
  get length(): number {
    return this.samples.length;
  }

  /**
   * Visits samples from position `from - 1` downwards while they are newer than `after`.
   *
   * Returns the value of `from` with which a longer window continues.
   */
  visitOlder(from: number, after: number, visit: (sample: Sample) => void): number {
    for (let index = from - 1; index >= 0; index -= 1) {
      const sample = this.samples[index];
      if (sample === undefined || sample.at <= after) {
        return index + 1;
      }
      visit(sample);
    }
    return 0;
  }

  /** Removes all samples. */
  clear(): void {
    this.samples = [];
  }
}
