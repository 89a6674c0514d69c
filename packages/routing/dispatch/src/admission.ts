/**
 * Admission by deadline: the expected wait of a request in the queue of its cell.
 */
import type { Capacity } from './endpoint-pool.js';
import type { DispatchRequest } from './request.js';
import type { ServiceTimes } from './service-times.js';
import type { WaitingRoom } from './cell-queue.js';

/** The expected wait is an estimate; it is raised by this factor before it is compared. */
const WAIT_MARGIN = 1.1;

/** A queue that stands longer than this is no burst but overload. */
const STANDING_QUEUE_MILLISECONDS = 1000;

/**
 * Share of the remaining time that requests may wait in overload. A short queue loses no capacity,
 * and service is normal again soon after the overload.
 */
const OVERLOAD_WAIT_SHARE = 0.25;

/** What admission expects of a request. */
export interface Expectation {
  readonly waitMilliseconds: number;
  readonly neededMilliseconds: number;
  readonly admitted: boolean;
}

/** Estimates waits and decides admission. */
export class Admission {
  private emptyAt: number;

  constructor(
    private readonly times: ServiceTimes,
    private readonly room: WaitingRoom,
    now: number,
  ) {
    this.emptyAt = now;
  }

  /** Registers that the queue was empty at a moment. */
  noteEmpty(now: number): void {
    this.emptyAt = now;
  }

  /** Judges a new request. */
  judge(request: DispatchRequest, capacity: Capacity, longLimit: number, now: number): Expectation {
    const remaining = request.deadlineAt - now;
    const neededMilliseconds = this.times.neededMilliseconds(request.sizeClass, remaining);
    const waitMilliseconds = this.estimateWait(request, capacity, longLimit);
    const standing = now - this.emptyAt > STANDING_QUEUE_MILLISECONDS;
    const allowed = standing ? remaining * OVERLOAD_WAIT_SHARE : remaining - neededMilliseconds;
    const admitted =
      remaining > 0 &&
      neededMilliseconds <= remaining &&
      (waitMilliseconds === 0 || waitMilliseconds * WAIT_MARGIN <= allowed);
    return { waitMilliseconds, neededMilliseconds, admitted };
  }

  private estimateWait(request: DispatchRequest, capacity: Capacity, longLimit: number): number {
    const { sizeClass, priority, organisation } = request;
    const ahead = this.room.countAhead(priority, sizeClass, organisation);
    const occupied = Math.min(capacity.longInFlight, longLimit);
    const slots = sizeClass === 'long' ? longLimit : capacity.slots - occupied;
    const busy = sizeClass === 'long' ? capacity.longInFlight : capacity.inFlight - occupied;
    if (ahead === 0 && busy < slots) {
      return 0;
    }
    return ((ahead + 1) * this.times.mean(sizeClass)) / Math.max(1, slots);
  }
}
