/**
 * Enforces the retry budget of a service: a share of its requests plus a fixed number per time window, for the whole
 * fleet.
 */
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** The configured retry budget, shared by all daemons of the fleet. */
export interface RetryBudget {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries per window. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Share of the budget that the dispatcher spends; the rest covers retries of daemons that can't reach it. */
const DISPATCHER_SHARE = 0.75;
/** Share of the slack available in the first window, because a previous dispatcher may have spent some of it. */
const FIRST_WINDOW_SHARE = 0.35;

/** Counts the requests and retries of a service against its budget. */
export class RetryBudgetTracker {
  private readonly requests: SlidingWindowCounter;

  private readonly retries: SlidingWindowCounter;

  constructor(
    private readonly budget: () => RetryBudget,
    private readonly startedAt: number,
  ) {
    const { windowMilliseconds } = budget();
    this.requests = new SlidingWindowCounter(windowMilliseconds, startedAt);
    this.retries = new SlidingWindowCounter(windowMilliseconds, startedAt);
  }

  /** Counts a request; retries are counted by `tryTake`. */
  countRequest(now: number): void {
    this.requests.add(now);
  }

  /** Returns the number of retries left in the current window. */
  countRemaining(now: number): number {
    const { ratio, slack, windowMilliseconds } = this.budget();
    const isFirstWindow = now - this.startedAt < windowMilliseconds;
    const fixed = slack * (isFirstWindow ? FIRST_WINDOW_SHARE : DISPATCHER_SHARE);
    const allowed = ratio * DISPATCHER_SHARE * this.requests.count(now) + fixed;
    return Math.floor(allowed - this.retries.count(now));
  }

  /** Consumes one retry; returns false if none was left. */
  tryTake(now: number): boolean {
    if (this.countRemaining(now) < 1) {
      return false;
    }
    this.retries.add(now);
    return true;
  }
}
