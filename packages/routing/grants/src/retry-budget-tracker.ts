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

/** What one process counted in the window before a time. */
export interface CountedRetries {
  /** Name of the process; one that starts again has another name. */
  readonly process: string;
  readonly requests: number;
  readonly retries: number;
  readonly at: number;
}

/** Counts the requests and retries of a service against its budget, with those that other dispatchers counted. */
export class RetryBudgetTracker {
  /** The latest counts of other processes, by their names. */
  private readonly others = new Map<string, CountedRetries>();

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
    let requests = this.requests.count(now);
    let retries = this.retries.count(now);
    for (const other of this.listOthers(now)) {
      requests += other.requests;
      retries += other.retries;
    }
    return Math.floor(ratio * DISPATCHER_SHARE * requests + fixed - retries);
  }

  /** Lists the counts of this process, under the given name, and of the others. */
  listCounted(process: string, now: number): CountedRetries[] {
    const [requests, retries] = [this.requests.count(now), this.retries.count(now)];
    const others = this.listOthers(now);
    return retries === 0 ? others : [{ process, requests, retries, at: now }, ...others];
  }

  /** Merges the counts of other processes; the latest of each counts until its window has passed. */
  importCounted(counted: readonly CountedRetries[]): void {
    for (const entry of counted) {
      if (entry.at > (this.others.get(entry.process)?.at ?? -Infinity)) {
        this.others.set(entry.process, entry);
      }
    }
  }

  private listOthers(now: number): CountedRetries[] {
    const { windowMilliseconds } = this.budget();
    for (const [process, { at }] of this.others) {
      if (now - at > windowMilliseconds) {
        this.others.delete(process);
      }
    }
    return [...this.others.values()];
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
