/**
 * Statistics of measured values.
 */
import { roundFigure } from '../measurement.js';

/** Returns the smallest value that is not exceeded by `share` of the values; -1 if there are none. */
export function computePercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.max(0, Math.ceil(sorted.length * share) - 1);
  return roundFigure(sorted[index] ?? -1);
}

/** Returns `part` as a percentage of `whole`, rounded like a figure. */
export function computePercent(part: number, whole: number): number {
  return roundFigure((100 * part) / Math.max(1, whole));
}
