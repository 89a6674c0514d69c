/**
 * Deadline-based admission control: admits a request only if its expected queueing time still lets
 * it finish before its deadline.
 */
import type { CellQueue } from './cell-queue.js';
import type { Capacity } from './endpoint-pool.js';
import type { DispatchRequest } from './request.js';
import type { ServiceTimes } from './service-times.js';

/** Safety factor that covers the error of the estimated wait. */
const WAIT_SAFETY_FACTOR = 1.1;

/** A queue that has not been empty for longer than this is caused by overload, not by a burst. */
const STANDING_QUEUE_MILLISECONDS = 1000;

/**
 * Fraction of the remaining time that a request may wait during overload. A short queue still keeps
 * all slots busy, and it drains quickly once the overload ends.
 */
const OVERLOAD_WAIT_SHARE = 0.25;

/** The admission decision for one request, with the estimates behind it. */
export interface AdmissionDecision {
  readonly waitMilliseconds: number;
  readonly neededMilliseconds: number;
  readonly admitted: boolean;
}

/** Estimates queueing times and admits or rejects new requests. */
export class AdmissionController {
  private lastEmptyAt: number;

  constructor(
    private readonly times: ServiceTimes,
    private readonly queue: CellQueue,
    now: number,
  ) {
    this.lastEmptyAt = now;
  }

  /** Records that the queue was empty at `now`. */
  recordEmptyQueue(now: number): void {
    this.lastEmptyAt = now;
  }

  /** Decides whether a new request is admitted; `longLimit` is the limit of running long requests. */
  decide(
    request: DispatchRequest,
    capacity: Capacity,
    longLimit: number,
    now: number,
  ): AdmissionDecision {
    const remaining = request.deadlineAt - now;
    const neededMilliseconds = this.times.neededMilliseconds(request.sizeClass, remaining);
    const waitMilliseconds = this.estimateWait(request, capacity, longLimit);
    const standing = now - this.lastEmptyAt > STANDING_QUEUE_MILLISECONDS;
    const allowedWait = standing ? remaining * OVERLOAD_WAIT_SHARE : remaining - neededMilliseconds;
    const admitted =
      remaining > 0 &&
      neededMilliseconds <= remaining &&
      (waitMilliseconds === 0 || waitMilliseconds * WAIT_SAFETY_FACTOR <= allowedWait);
    return { waitMilliseconds, neededMilliseconds, admitted };
  }

  private estimateWait(request: DispatchRequest, capacity: Capacity, longLimit: number): number {
    const { sizeClass, priority, organisation } = request;
    const ahead = this.queue.countAhead(priority, sizeClass, organisation);
    const slotsUsedByLong = Math.min(capacity.longInFlight, longLimit);
    const slots = sizeClass === 'long' ? longLimit : capacity.slots - slotsUsedByLong;
    const busy = sizeClass === 'long' ? capacity.longInFlight : capacity.inFlight - slotsUsedByLong;
    if (ahead === 0 && busy < slots) {
      return 0;
    }
    return ((ahead + 1) * this.times.mean(sizeClass)) / Math.max(1, slots);
  }
}
