/**
 * The recent outcomes of one endpoint, oldest first, bounded in number and in age.
 */

/** The properties of an outcome that the tests count. */
export interface OutcomeFlags {
  /** Error, timeout, reset, cut answer, refused connection, shed request. */
  readonly failed: boolean;
  /** Longer than `SLOW_FACTOR` medians of the route. */
  readonly slow: boolean;
  /** Longer than `VERY_SLOW_FACTOR` medians of the route. */
  readonly verySlow: boolean;
  /** Longer than `SLOW_FACTOR` times what the endpoint itself used to take. */
  readonly slowerThanPast: boolean;
}

/** The marks of an outcome without anything to say against the endpoint. */
export const noFlags: OutcomeFlags = {
  failed: false,
  slow: false,
  verySlow: false,
  slowerThanPast: false,
};

/** Returns whether anything speaks against the endpoint. */
export function isAdverse(flags: OutcomeFlags): boolean {
  return flags.failed || flags.slow || flags.slowerThanPast;
}

/** A service time in relation to those of its route. */
export interface RelativeTime {
  /** Negative logarithm of the probability that a request takes at least that long. */
  readonly surprise: number;
  /** Logarithm of the ratio to the route's median. */
  readonly logarithm: number;
}

/** One outcome as evidence. */
export interface Sample {
  readonly at: number;
  readonly routeName: string;
  /** Route and group of organisations: outcomes are compared within a stratum only. */
  readonly stratum: string;
  readonly flags: OutcomeFlags;
  /** Undefined when the time says nothing about the endpoint. */
  readonly time?: RelativeTime | undefined;
}

/** Samples kept for one endpoint; at 20 to 200 requests/s this covers the longest window. */
const MAXIMUM_SAMPLES = 1024;

/** Samples dropped at once when the list is full, so that dropping costs O(1) per sample. */
const DROPPED_SAMPLES = 256;

/** The recent outcomes of one endpoint. */
export class SampleList {
  private samples: Sample[] = [];

  /** Adds an outcome; `at` never decreases. */
  add(sample: Sample): void {
    if (this.samples.length >= MAXIMUM_SAMPLES) {
      this.samples.splice(0, DROPPED_SAMPLES);
    }
    this.samples.push(sample);
  }

  /** Samples kept. */
  get length(): number {
    return this.samples.length;
  }

  /**
   * Visits samples from position `from - 1` downwards while they are younger than `after`.
   *
   * Returns the position at which a longer window continues.
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

  /** Forgets all samples. */
  clear(): void {
    this.samples = [];
  }
}
