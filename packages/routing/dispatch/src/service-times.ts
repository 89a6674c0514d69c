/**
 * Statistics of slot times, which are the times for which requests hold a slot, by size class.
 */
import type { SizeClass } from '@dogwoodstall/model';
import { SizeClassTimes } from './size-class-times.js';

/** The slot times of one cell. */
export class ServiceTimes {
  private readonly classes = { short: new SizeClassTimes(), long: new SizeClassTimes() };

  /** Adds the time for which a request held its slot. */
  add(sizeClass: SizeClass, milliseconds: number): void {
    this.classes[sizeClass].add(milliseconds);
  }

  /** Returns the mean slot time in milliseconds; 0 before the first sample. */
  mean(sizeClass: SizeClass): number {
    return this.classes[sizeClass].mean;
  }

  /**
   * Returns the time that a request must have left before its deadline when it gets a slot. Requiring
   * the 95th percentile avoids spending slots on requests that would finish late. The requirement is
   * capped at half of the request's time budget, but not below the median, so that requests with
   * tight deadlines are not all refused.
   */
  neededMilliseconds(sizeClass: SizeClass, budget: number): number {
    const times = this.classes[sizeClass];
    return Math.max(times.median, Math.min(times.percentile95, budget / 2));
  }
}
