/**
 * The retries that one service may get: a share of its requests and a fixed number, per window of time, for the
 * whole fleet.
 */
import { SlidingCount } from './sliding-count.js';

/** The budget that the operator grants; all daemons together draw on it. */
export interface RetryBudget {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries per window beyond that share. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Part of the budget that is used; the rest covers retries of daemons that can't reach the dispatcher. */
const USED_SHARE = 0.75;
/** Part of the slack in the first window, when another dispatcher may have used some. */
const FIRST_WINDOW_SHARE = 0.35;

/** Counts requests and retries of a service. */
export class RetryAllowance {
  private readonly requests: SlidingCount;

  private readonly retries: SlidingCount;

  constructor(
    private readonly budget: () => RetryBudget,
    private readonly startedAt: number,
  ) {
    const { windowMilliseconds } = budget();
    this.requests = new SlidingCount(windowMilliseconds, startedAt);
    this.retries = new SlidingCount(windowMilliseconds, startedAt);
  }

  /** Counts a request's first attempt. */
  countRequest(now: number): void {
    this.requests.add(now);
  }

  /** Returns the retries that are left in the present window. */
  remaining(now: number): number {
    const { ratio, slack, windowMilliseconds } = this.budget();
    const first = now - this.startedAt < windowMilliseconds;
    const fixed = slack * (first ? FIRST_WINDOW_SHARE : USED_SHARE);
    const allowed = ratio * USED_SHARE * this.requests.count(now) + fixed;
    return Math.floor(allowed - this.retries.count(now));
  }

  /** Takes one retry; returns whether one was left. */
  take(now: number): boolean {
    if (this.remaining(now) < 1) {
      return false;
    }
    this.retries.add(now);
    return true;
  }
}
