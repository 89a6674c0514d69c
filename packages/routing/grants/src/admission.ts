/**
 * Decides how long a request may wait for a slot of a cell, and when its caller may return if it can't be served.
 */
import type { EndpointState } from './endpoint-state.js';
import type { FairShares } from './fair-shares.js';
import { ReturnSchedule } from './return-schedule.js';
import type { ServiceTimes } from './service-times.js';
import { type SlotCount, countSlots, estimateWait } from './slot-count.js';
import type { SlotRequest } from './slot-request.js';
import type { Waiter } from './waiting-order.js';
import type { WaitingQueue } from './waiting-queue.js';

/** Maximum number of queued requests; further ones are refused immediately. */
const MAXIMUM_WAITERS = 400;
/** Maximum wait in all cells as a share of the target latency, so that callers soon receive the result of a refused request. */
const MAXIMUM_WAIT_OF_TARGET = 0.5;
/** Multiple of the service time that a request of an organisation keeps of its target, because service times vary. */
const KEPT_SERVICE_TIMES = 1.2;
/** Latest return of a refused caller, as a share of the time that it has left, so that it can be served after it. */
const RETURN_OF_REMAINING = 1 / 3;
/** Multiple of the time left up to which an estimated wait keeps a queued request, because estimates vary. */
const LEAVE_TOLERANCE = 1.4;
/** Added to the priority by which callers of organisations in excess return. */
const EXCESS_PRIORITY = 0.5;

/** Options of `Admission`. */
export interface AdmissionOptions {
  readonly states: ReadonlyMap<string, EndpointState>;
  readonly queue: WaitingQueue;
  readonly serviceTimes: ServiceTimes;
  readonly shares: FairShares;
}

/** Admits requests to the queue of one cell. */
export class Admission {
  private readonly returnSchedule = new ReturnSchedule();

  constructor(private readonly options: AdmissionOptions) {}

  /** Whether the queue has no room for another request. */
  get isFull(): boolean {
    return this.options.queue.size >= MAXIMUM_WAITERS;
  }

  /** Whether a request can get a slot in time if it joins the queue now. */
  canServe(waiter: Waiter, now: number): boolean {
    const { request } = waiter;
    const wait = this.estimateWait(waiter, now);
    // A request of an organisation that is already late gets a free slot if that ends by its deadline.
    const isServedAtOnce = wait === 0 && request.organisation !== '';
    return wait <= (isServedAtOnce ? this.getLongestWait(request) : this.getMaximumWait(request));
  }

  /**
   * Whether a queued request can still get a slot in time, behind `ahead` others. Without an organisation a request keeps
   * its place until its maximum wait is over.
   */
  canStillServe(waiter: Waiter, ahead: number, slots: SlotCount, now: number): boolean {
    const { request, arrivedAt } = waiter;
    const left = this.getMaximumWait(request) - (now - arrivedAt);
    const wait =
      request.organisation === '' ? 0 : this.estimateQueue(request, ahead, slots) / LEAVE_TOLERANCE;
    return left >= wait;
  }

  /** Returns the milliseconds for which a request may wait in this cell; negative if it has no time left. */
  getMaximumWait(request: SlotRequest): number {
    const { target, waitedElsewhere, organisation } = request;
    const wait =
      organisation === ''
        ? target * MAXIMUM_WAIT_OF_TARGET
        : target - this.expectService(request) * KEPT_SERVICE_TIMES;
    return Math.min(wait - waitedElsewhere, this.getLongestWait(request));
  }

  private getLongestWait(request: SlotRequest): number {
    return request.remaining - this.expectService(request);
  }

  /** Returns the milliseconds after which the caller of a refused request may return. */
  scheduleReturn(waiter: Waiter, now: number): number {
    const { request } = waiter;
    const { slots } = countSlots(this.options.states.values(), now);
    const options = {
      expectedWait: this.estimateWait(waiter, now),
      spacing: this.expectService(request) / Math.max(1, slots),
      maximum: Math.max(0, request.remaining * RETURN_OF_REMAINING),
    };
    const excess = this.options.queue.findPlace(waiter, now).inExcess ? EXCESS_PRIORITY : 0;
    return this.returnSchedule.schedule(request.priority + excess, options, now);
  }

  private estimateWait(waiter: Waiter, now: number): number {
    const { states, queue, shares } = this.options;
    const { request } = waiter;
    const ahead = queue.countAhead(waiter, now);
    const wait = this.estimateQueue(request, ahead, countSlots(states.values(), now));
    if (wait === 0 || !queue.findPlace(waiter, now).inExcess) {
      return wait;
    }
    const own = queue.countOwn(request) + 1;
    const ownWait = (own * this.expectService(request)) / shares.findShare(request, now);
    return Math.max(wait, ownWait);
  }

  private estimateQueue(request: SlotRequest, ahead: number, { slots, free }: SlotCount): number {
    const left = this.options.shares.findSlots(request.priority);
    const count = { slots: Math.max(1, Math.min(slots, left)), free };
    return estimateWait(
      request.organisation === '' ? { slots, free } : count,
      ahead + 1,
      this.expectService(request),
    );
  }

  private expectService({ route, target }: SlotRequest): number {
    return this.options.serviceTimes.expect(route, target);
  }
}
