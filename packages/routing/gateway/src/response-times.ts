/**
 * Recent response times of the first attempts of one route, and the time after which a request is later than others.
 */

/** Maximum number of response times that are kept. */
const MAXIMUM_SAMPLES = 256;
/** Older response times are ignored. */
const MAXIMUM_AGE_MILLISECONDS = 60_000;
/** Number of response times at which the quantile counts as much as the fallback. */
const FALLBACK_SAMPLES = 40;
/** Time that is kept of the target for a second attempt, as a multiple of the median. */
const KEPT_MEDIANS = 3;
/** Interval at which the quantile is computed anew. */
const REFRESH_MILLISECONDS = 250;

interface Sample {
  readonly at: number;
  readonly milliseconds: number;
}

interface Summary {
  readonly createdAt: number;
  /** In ascending order. */
  readonly sorted: readonly number[];
}

/** Keeps the response times of one route. All times are milliseconds of one monotonic clock. */
export class ResponseTimes {
  private samples: Sample[] = [];

  private summary: Summary = { createdAt: -Infinity, sorted: [] };

  /** Adds a response time, or the time after which an attempt was cancelled without a response. */
  add(milliseconds: number, now: number): void {
    this.samples.push({ at: now, milliseconds });
    if (this.samples.length > MAXIMUM_SAMPLES) {
      this.samples.shift();
    }
  }

  /**
   * Returns the time after which a request is late: the given quantile, drawn towards the fallback while response times
   * are few. It is no later than the fallback if a second attempt could miss the target then.
   */
  getLateness(
    quantile: number,
    { fallback, target }: { readonly fallback: number; readonly target: number },
    now: number,
  ): number {
    const { sorted } = this.summarise(now);
    const { length } = sorted;
    if (length === 0) {
      return fallback;
    }
    const weight = length / (length + FALLBACK_SAMPLES);
    const measured = sorted[Math.min(length - 1, Math.floor(length * quantile))] as number;
    const median = sorted[Math.floor(length / 2)] as number;
    const lateness = weight * measured + (1 - weight) * fallback;
    return Math.min(lateness, Math.max(fallback, target - KEPT_MEDIANS * median));
  }

  private summarise(now: number): Summary {
    if (now - this.summary.createdAt >= REFRESH_MILLISECONDS) {
      const oldest = now - MAXIMUM_AGE_MILLISECONDS;
      this.samples = this.samples.filter(({ at }) => at >= oldest);
      const sorted = this.samples.map(({ milliseconds }) => milliseconds);
      sorted.sort((left, right) => left - right);
      this.summary = { createdAt: now, sorted };
    }
    return this.summary;
  }
}
