/**
 * Measured times for which requests hold a slot, for each size class.
 */
import * as health from '@dogwoodstall/health';
import type { SizeClass } from '@dogwoodstall/model';

/** Weight of one sample in the mean: about the last 100 requests. */
const MEAN_WEIGHT = 0.01;

/** Samples after which old ones lose half of their weight, so that estimates follow the traffic. */
const REMEMBERED_SAMPLES = 2000;

/** Samples between two searches of the quantile. */
const QUANTILE_REFRESH_SAMPLES = 16;

const HIGH_QUANTILE = 0.95;

class ClassTimes {
  mean = 0;

  high = 0;

  private readonly scale = new health.LatencyScale(REMEMBERED_SAMPLES);

  private samples = 0;

  add(milliseconds: number): void {
    this.samples += 1;
    this.mean += Math.max(MEAN_WEIGHT, 1 / this.samples) * (milliseconds - this.mean);
    this.scale.add(milliseconds);
    if (this.samples < QUANTILE_REFRESH_SAMPLES || this.samples % QUANTILE_REFRESH_SAMPLES === 0) {
      this.high = this.scale.quantile(HIGH_QUANTILE);
    }
  }

  get median(): number {
    return this.scale.median;
  }
}

/** The slot times of a cell. */
export class ServiceTimes {
  private readonly classes = { short: new ClassTimes(), long: new ClassTimes() };

  /** Adds the time for which a request held its slot. */
  add(sizeClass: SizeClass, milliseconds: number): void {
    this.classes[sizeClass].add(milliseconds);
  }

  /** Mean slot time in milliseconds; 0 while nothing is measured. */
  mean(sizeClass: SizeClass): number {
    return this.classes[sizeClass].mean;
  }

  /**
   * Returns the time that a request with this time budget must have left when it gets a slot. The
   * 95th percentile keeps slots from requests that would be late; a budget shorter than that is
   * judged by its half, so that tight deadlines are not refused altogether.
   */
  neededMilliseconds(sizeClass: SizeClass, budget: number): number {
    const times = this.classes[sizeClass];
    return Math.max(times.median, Math.min(times.high, budget / 2));
  }
}
