/**
 * The order in which requests are served when not all can be: first by priority; then those of organisations that stay
 * within their share before the others; then those that can still meet their target before those that can't; then by the
 * latest time at which they must start to meet it.
 */
import type { FairShares } from './fair-shares.js';
import type { ServiceTimes } from './service-times.js';
import type { SlotRequest } from './slot-request.js';

/** A request in the queue. */
export interface Waiter {
  readonly request: SlotRequest;
  readonly arrivedAt: number;
}

/** The place of a request in the order. */
export interface Place {
  readonly rank: number;
  readonly inExcess: boolean;
  readonly isLate: boolean;
  readonly latestStart: number;
}

/** Rank of retries; they go first, because earlier attempts have used up part of their time. */
const RETRY_RANK = -1;

/** Part of a request that an allowance must cover. */
const COVERED_ALLOWANCE = 0.5;

/** Returns a negative number if the first place goes before the other, and 0 if they are equal. */
export function comparePlaces(one: Place, other: Place): number {
  return (
    one.rank - other.rank ||
    Number(one.inExcess) - Number(other.inExcess) ||
    Number(one.isLate) - Number(other.isLate) ||
    one.latestStart - other.latestStart
  );
}

/** What organisations may still be granted beside the requests whose places were found. */
export type Allowances = Map<string, number>;

/** Options of `WaitingOrder`. */
export interface WaitingOrderOptions {
  readonly serviceTimes: ServiceTimes;
  readonly shares: FairShares;
}

/** Finds the places of requests. */
export class WaitingOrder {
  constructor(private readonly options: WaitingOrderOptions) {}

  /** Returns the place of a request at `now`. */
  findPlace(waiter: Waiter, allowances: Allowances, now: number): Place {
    const { request } = waiter;
    const { repeated, priority, organisation } = request;
    const latestStart = this.findLatestStart(waiter, request.target);
    const isLate = organisation !== '' && now > latestStart;
    return {
      rank: repeated ? RETRY_RANK : priority,
      inExcess: !repeated && !this.takeAllowance(request, allowances, now),
      isLate,
      latestStart: isLate ? this.findLatestStart(waiter, Infinity) : latestStart,
    };
  }

  /** Returns whether the allowance of the request's organisation covers it, and reduces the allowance if so. */
  private takeAllowance(request: SlotRequest, allowances: Allowances, now: number): boolean {
    const { organisation, priority } = request;
    if (organisation === '') {
      return true;
    }
    const key = `${priority}/${organisation}`;
    const allowance = allowances.get(key) ?? this.options.shares.findAllowance(request, now);
    const isCovered = allowance >= COVERED_ALLOWANCE;
    allowances.set(key, isCovered ? allowance - 1 : allowance);
    return isCovered;
  }

  /** Returns when the request must start to end by its deadline and within `target` milliseconds of its arrival. */
  private findLatestStart({ request, arrivedAt }: Waiter, target: number): number {
    const { route, remaining, waitedElsewhere, organisation } = request;
    if (organisation === '') {
      // Without organisations nobody competes for shares, and the order of arrival holds.
      return arrivedAt;
    }
    const service = this.options.serviceTimes.expect(route, request.target);
    return arrivedAt + Math.min(target - waitedElsewhere, remaining) - service;
  }
}
