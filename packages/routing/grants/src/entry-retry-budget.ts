/**
 * The retry budget of one daemon for the requests of its own callers to one service.
 *
 * The budget of the fleet limits the retries in any window to a share of the requests, of that window or of the one before
 * it, and a slack. Each daemon spends one half of the ratio on its requests of the window before, which serves the begin of
 * a failure, and the other half on those of the same window, which serves callers that have just arrived. With its part of
 * the slack this limits its retries in every window, so that the sum holds for the fleet, whichever daemons end, start,
 * don't hear each other, or get other callers.
 */
import { SliceCounts } from './slice-counts.js';

/** The part of the fleet's retry budget that one daemon may spend. */
export interface RetryBudgetShare {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries per window; a whole number, since a fraction of a retry can't be made. */
  readonly slack: number;
  /** Fixed for the life of an `EntryRetryBudget`. */
  readonly windowMilliseconds: number;
}

/** The state of a budget. */
export interface RetryBudgetState {
  /** Requests and retries of the last window. */
  readonly requests: number;
  readonly retries: number;
  /** Retries that may be made now. */
  readonly remaining: number;
  /** This daemon's part of the slack. */
  readonly slack: number;
  /** Whether requests or retries of an earlier process of this daemon may be in the last window. */
  readonly isNew: boolean;
}

/** Slices of a window; the requests of a slice that is only partly in a window don't count for it. */
const SLICES = 100;
/** The requests of the window before count as well. */
const HISTORY_SLICES = 2 * SLICES + 2;
/** Share of the ratio that is spent on the requests of the window before, and on those of the same window. */
const BEFORE_SHARE = 0.5;
const SAME_SHARE = 0.5;
/** Share of the budget of the last window beyond which requests don't probe endpoints, whose failures need retries. */
const PROBE_SHARE = 0.75;

/** Counts the requests and retries of one daemon to one service. */
export class EntryRetryBudget {
  private readonly requests = new SliceCounts(HISTORY_SLICES);

  private readonly retries = new SliceCounts(HISTORY_SLICES);

  /** Requests before each slice of the history, oldest first; filled by each check. */
  private readonly requestsBefore = new Array<number>(HISTORY_SLICES + 1).fill(0);

  private readonly sliceMilliseconds: number;

  private current: number;

  /** `startedAt` is the start of the process, in milliseconds of the clock of all other times. */
  constructor(
    private readonly share: () => RetryBudgetShare,
    private readonly startedAt: number,
  ) {
    this.sliceMilliseconds = share().windowMilliseconds / SLICES;
    this.current = Math.floor(startedAt / this.sliceMilliseconds);
  }

  /** Counts a request of a caller. */
  countRequest(now: number): void {
    this.advance(now);
    this.requests.add(this.current, 1);
  }

  /** Returns how many retries may be made now. */
  countRemaining(now: number): number {
    this.advance(now);
    this.sumRequests();
    const { ratio, slack } = this.share();
    let retries = 0;
    let remaining = Infinity;
    for (let age = 0; age <= SLICES; age += 1) {
      const slice = this.current - age;
      retries += this.retries.get(slice);
      const credit =
        BEFORE_SHARE * this.countRequests(slice - SLICES + 1, slice) +
        SAME_SHARE * this.countRequests(slice + 1, this.current + 1);
      // An earlier process of this daemon may have spent the slack of windows that began before this process.
      const ownSlack = slice * this.sliceMilliseconds >= this.startedAt ? slack : 0;
      remaining = Math.min(remaining, ratio * credit + ownSlack - retries);
    }
    return Math.max(0, Math.floor(remaining));
  }

  /** Consumes one retry; returns false if none was left. */
  tryTake(now: number): boolean {
    if (this.countRemaining(now) < 1) {
      return false;
    }
    this.retries.add(this.current, 1);
    return true;
  }

  /** Returns a retry that was taken at the given time and certainly reached no endpoint. */
  giveBack(takenAt: number): void {
    const slice = Math.floor(takenAt / this.sliceMilliseconds);
    if (slice > this.current - HISTORY_SLICES) {
      this.retries.add(slice, -1);
    }
  }

  /** Whether enough of the budget is left for requests to probe endpoints, also while the process is new. */
  hasProbeReserve(now: number): boolean {
    const { ratio, slack } = this.share();
    const { requests, retries } = this.countWindow(now);
    return retries <= PROBE_SHARE * (ratio * requests + slack);
  }

  /** Whether the given share of the budget of the last window is left after one more retry. */
  hasReserve(now: number, share: number): boolean {
    const { ratio, slack } = this.share();
    const { requests, retries } = this.countWindow(now);
    return retries + 1 <= (1 - share) * (ratio * requests + slack) && this.countRemaining(now) >= 1;
  }

  /** Returns the state of the budget. */
  readState(now: number): RetryBudgetState {
    const remaining = this.countRemaining(now);
    const { slack, windowMilliseconds } = this.share();
    const isNew = now - this.startedAt < windowMilliseconds;
    return { ...this.countWindow(now), remaining, slack, isNew };
  }

  private countWindow(now: number): Pick<RetryBudgetState, 'requests' | 'retries'> {
    this.advance(now);
    let requests = 0;
    let retries = 0;
    for (let age = 0; age < SLICES; age += 1) {
      requests += this.requests.get(this.current - age);
      retries += this.retries.get(this.current - age);
    }
    return { requests, retries };
  }

  /** Returns the requests from the start of a slice until the start of another one. */
  private countRequests(from: number, until: number): number {
    const first = this.current - HISTORY_SLICES + 1;
    return (
      (this.requestsBefore[until - first] as number) - (this.requestsBefore[from - first] as number)
    );
  }

  private sumRequests(): void {
    const first = this.current - HISTORY_SLICES + 1;
    let sum = 0;
    for (let index = 0; index < HISTORY_SLICES; index += 1) {
      sum += this.requests.get(first + index);
      this.requestsBefore[index + 1] = sum;
    }
  }

  private advance(now: number): void {
    const slice = Math.floor(now / this.sliceMilliseconds);
    const steps = Math.min(HISTORY_SLICES, slice - this.current);
    for (let step = 0; step < steps; step += 1) {
      this.requests.clear(slice - step);
      this.retries.clear(slice - step);
    }
    this.current = Math.max(this.current, slice);
  }
}
