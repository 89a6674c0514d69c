/**
 * Decides how long a request may wait for a slot of a cell, and when its caller may return if it can't be served.
 */
import type { EndpointState } from './endpoint-state.js';
import { ReturnSchedule } from './return-schedule.js';
import type { ServiceTimes } from './service-times.js';
import { countSlots, estimateWait } from './slot-count.js';
import type { SlotRequest } from './slot-request.js';
import type { WaitingQueue } from './waiting-queue.js';

/** Maximum number of queued requests; further ones are refused immediately. */
const MAXIMUM_WAITERS = 400;
/** Maximum wait in all cells as a share of the target latency, so that callers soon receive the result of a refused request. */
const MAXIMUM_WAIT_OF_TARGET = 0.5;
/** Latest return of a refused caller, as a share of the time that it has left, so that it can be served after it. */
const RETURN_OF_REMAINING = 1 / 3;

/** Options of `Admission`. */
export interface AdmissionOptions {
  readonly states: ReadonlyMap<string, EndpointState>;
  readonly queue: WaitingQueue;
  readonly serviceTimes: ServiceTimes;
}

/** Admits requests to the queue of one cell. */
export class Admission {
  private readonly returnSchedule = new ReturnSchedule();

  constructor(private readonly options: AdmissionOptions) {}

  /** Whether a request can get a slot in time if it joins the queue now. */
  canServe(request: SlotRequest, now: number): boolean {
    return (
      this.options.queue.size < MAXIMUM_WAITERS &&
      this.estimateWait(request, now) <= this.getMaximumWait(request)
    );
  }

  /** Returns the milliseconds for which a request may wait in this cell; negative if it has no time left. */
  getMaximumWait({ target, remaining, route, waitedElsewhere }: SlotRequest): number {
    const service = this.options.serviceTimes.expect(route, target);
    return Math.min(target * MAXIMUM_WAIT_OF_TARGET - waitedElsewhere, remaining - service);
  }

  /** Returns the milliseconds after which the caller of a refused request may return. */
  scheduleReturn(request: SlotRequest, now: number): number {
    const { priority, route, target, remaining } = request;
    const { slots } = countSlots(this.options.states.values(), now);
    const options = {
      expectedWait: this.estimateWait(request, now),
      spacing: this.options.serviceTimes.expect(route, target) / Math.max(1, slots),
      maximum: Math.max(0, remaining * RETURN_OF_REMAINING),
    };
    return this.returnSchedule.schedule(priority, options, now);
  }

  private estimateWait({ priority, route, target }: SlotRequest, now: number): number {
    const { states, queue, serviceTimes } = this.options;
    return estimateWait(
      countSlots(states.values(), now),
      queue.countAhead(priority) + 1,
      serviceTimes.expect(route, target),
    );
  }
}
