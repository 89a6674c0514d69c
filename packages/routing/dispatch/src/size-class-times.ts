/**
 * Statistics of the slot times of one size class.
 */
import * as health from '@dogwoodstall/health';

/** Weight of a sample in the moving average, which covers about the last 100 requests. */
const MEAN_WEIGHT = 0.01;

/** Number of samples at which the weights of all are halved, so that estimates track the traffic. */
const DECAY_SAMPLES = 2000;

/** Number of samples between two computations of the quantile. */
const QUANTILE_REFRESH_SAMPLES = 16;

const UPPER_QUANTILE = 0.95;

/** Mean, median and 95th percentile of the slot times of one size class. */
export class SizeClassTimes {
  /** Moving average in milliseconds; 0 before the first sample. */
  mean = 0;

  /** The 95th percentile in milliseconds. */
  percentile95 = 0;

  private readonly distribution = new health.LatencyHistogram(DECAY_SAMPLES);

  private samples = 0;

  /** Adds a sample. */
  add(milliseconds: number): void {
    this.samples += 1;
    this.mean += Math.max(MEAN_WEIGHT, 1 / this.samples) * (milliseconds - this.mean);
    this.distribution.add(milliseconds);
    if (this.samples < QUANTILE_REFRESH_SAMPLES || this.samples % QUANTILE_REFRESH_SAMPLES === 0) {
      this.percentile95 = this.distribution.quantile(UPPER_QUANTILE);
    }
  }

  /** The median in milliseconds. */
  get median(): number {
    return this.distribution.median;
  }
}
