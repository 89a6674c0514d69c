/**
 * Linear regression through measured points.
 */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line `y = intercept + slope * x`. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
}

/** Fits a line by least squares; the slope is 0 when all points have the same x. */
export function fitLine(points: readonly Point[]): Line {
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  return { intercept: meanY - slope * meanX, slope };
}
