/**
 * Plain samples of a measurement.
 */
import { roundFigure } from '../measurement.js';

/** Returns the value that a share of the values does not exceed; -1 without values. */
export function computePercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.max(0, Math.ceil(sorted.length * share) - 1);
  return roundFigure(sorted[index] ?? -1);
}

/** Returns a part as a percentage of a whole. */
export function computePercent(part: number, whole: number): number {
  return roundFigure((100 * part) / Math.max(1, whole));
}
