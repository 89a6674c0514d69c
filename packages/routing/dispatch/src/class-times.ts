/**
 * Measured slot times of one size class.
 */
import * as health from '@dogwoodstall/health';

/** Weight of one sample in the mean: about the last 100 requests. */
const MEAN_WEIGHT = 0.01;

/** Samples after which old ones lose half of their weight, so that estimates follow the traffic. */
const REMEMBERED_SAMPLES = 2000;

/** Samples between two searches of the quantile. */
const QUANTILE_REFRESH_SAMPLES = 16;

const HIGH_QUANTILE = 0.95;

/** Mean, median and 95th percentile of the slot times of one size class. */
export class ClassTimes {
  /** Milliseconds; 0 while nothing is measured. */
  mean = 0;

  /** The 95th percentile in milliseconds. */
  high = 0;

  private readonly scale = new health.LatencyHistogram(REMEMBERED_SAMPLES);

  private samples = 0;

  /** Adds a slot time. */
  add(milliseconds: number): void {
    this.samples += 1;
    this.mean += Math.max(MEAN_WEIGHT, 1 / this.samples) * (milliseconds - this.mean);
    this.scale.add(milliseconds);
    if (this.samples < QUANTILE_REFRESH_SAMPLES || this.samples % QUANTILE_REFRESH_SAMPLES === 0) {
      this.high = this.scale.quantile(HIGH_QUANTILE);
    }
  }

  /** The median in milliseconds. */
  get median(): number {
    return this.scale.median;
  }
}
