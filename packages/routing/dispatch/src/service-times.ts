/**
 * Measured times for which requests hold a slot, for each size class.
 */
import type { SizeClass } from '@dogwoodstall/model';
import { ClassTimes } from './size-class-times.js';

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
