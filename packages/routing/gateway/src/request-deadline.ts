/**
 * The time until which the gateway works on a request, which leaves some for the way of the response to the caller.
 */

/** Share of the time allowed that is kept for the way of the response to the caller. */
const RESPONSE_MARGIN_SHARE = 0.01;
/** Bounds of that time: the ways within a region, and between distant callers and the fleet. */
const MINIMUM_RESPONSE_MARGIN_MILLISECONDS = 4;
const MAXIMUM_RESPONSE_MARGIN_MILLISECONDS = 50;

function computeResponseMargin(allowedMilliseconds: number): number {
  const margin = Math.max(
    MINIMUM_RESPONSE_MARGIN_MILLISECONDS,
    allowedMilliseconds * RESPONSE_MARGIN_SHARE,
  );
  return Math.min(MAXIMUM_RESPONSE_MARGIN_MILLISECONDS, margin);
}

/** Returns the deadline, in the same monotonic milliseconds as the arrival. */
export function computeDeadline(arrivedAt: number, allowedMilliseconds: number): number {
  return arrivedAt + allowedMilliseconds - computeResponseMargin(allowedMilliseconds);
}
