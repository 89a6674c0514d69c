/**
 * Daemons that spend one retry budget in virtual time. Each has callers of its own, knows the others from the store, and
 * sends retries that arrive later than they were taken from the budget. They tell each other nothing, so that partitions
 * between them and lost messages change nothing.
 */
import * as grants from '../src/index.js';

export const RATIO = 0.2;
export const SLACK = 58;
export const WINDOW_MILLISECONDS = 10_000;
const STEP_MILLISECONDS = 50;
/** Time after its start at which all other daemons know a daemon that was added. */
const KNOWN_MILLISECONDS = 4000;
const CHECK_MILLISECONDS = 50;
/** Position of a daemon that does not know itself yet, which does not occur. */
const UNKNOWN = -1;

/** A retry budget as the daemons use it; candidates of other designs implement it, too. */
export interface Budget {
  readonly countRequest: (now: number) => void;
  readonly tryTake: (now: number) => boolean;
}

/** Creates the budget of a daemon; `divide` returns its position and the number of daemons that it knows. */
export type CreateBudget = (
  divide: () => { readonly position: number; readonly daemons: number },
  startedAt: number,
) => Budget;

/** The budget of the product. */
export const createEntryBudget: CreateBudget = (divide, startedAt) =>
  new grants.EntryRetryBudget(() => {
    const { position, daemons } = divide();
    const budget = { ratio: RATIO, slack: SLACK, windowMilliseconds: WINDOW_MILLISECONDS };
    return grants.computeRetryBudgetShare(budget, position, daemons);
  }, startedAt);

/** What happens to a virtual fleet. */
export type FleetEvent =
  | { readonly kind: 'kill'; readonly daemon: number; readonly downMilliseconds: number }
  | { readonly kind: 'kill-all'; readonly downMilliseconds: number }
  /** Another daemon starts, which the others know after some time. */
  | { readonly kind: 'add' }
  /** Callers are distributed by these weights, of which the daemons take the next in turn. */
  | { readonly kind: 'move'; readonly weights: readonly number[] };

/** Options of `VirtualFleet`. */
export interface VirtualFleetOptions {
  readonly daemons: number;
  /** Returns a number from 0 to below 1. */
  readonly random: () => number;
  /** Maximum time from the budget to the endpoint. */
  readonly delayMilliseconds?: number;
  /** Share of the attempts that fail; all unless given. */
  readonly failedShare?: number;
  readonly createBudget?: CreateBudget;
}

/** One daemon; a restart replaces its budget. */
interface VirtualDaemon {
  readonly addedAt: number;
  budget: Budget | undefined;
  startsAt: number;
}

/** Returns the index of the first of the sorted times that is not before the given one. */
function findFirst(times: readonly number[], time: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((times[middle] as number) < time) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/** Returns the number of sorted times in the window from a time. */
function countWindow(times: readonly number[], from: number): number {
  return findFirst(times, from + WINDOW_MILLISECONDS) - findFirst(times, from);
}

/** Runs the daemons and records requests and retries. */
export class VirtualFleet {
  now = 100_000;

  /** Times at which requests were sent. */
  readonly requestsAt: number[] = [];

  /** Times at which retries arrived at endpoints. */
  readonly retriesAt: number[] = [];

  /** Retries that requests needed. */
  wanted = 0;

  private readonly daemons: VirtualDaemon[] = [];

  private weights: readonly number[] = [1];

  private carry = 0;

  constructor(private readonly options: VirtualFleetOptions) {
    for (let count = 0; count < options.daemons; count += 1) {
      this.add(-Infinity);
    }
  }

  apply(event: FleetEvent): void {
    switch (event.kind) {
      case 'kill':
        this.kill(event.daemon, event.downMilliseconds);
        return;
      case 'kill-all':
        this.daemons.forEach((_, index) => this.kill(index, event.downMilliseconds));
        return;
      case 'add':
        this.add(this.now);
        return;
      default:
        this.weights = event.weights;
    }
  }

  /** Sends requests at a rate, each of which is repeated as often as given if it fails and the budget allows it. */
  run(milliseconds: number, requestsPerSecond: number, repeats: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP_MILLISECONDS;
      this.daemons.forEach((daemon, index) => {
        if (daemon.budget === undefined && this.now >= daemon.startsAt) {
          this.start(daemon, index);
        }
      });
      this.carry += (requestsPerSecond * STEP_MILLISECONDS) / 1000;
      for (; this.carry >= 1; this.carry -= 1) {
        this.request(repeats);
      }
    }
  }

  /** Returns by how much retries exceed the budget in the worst window; negative if they don't in any. */
  findWorstExcess(): number {
    const requests = this.requestsAt;
    const retries = this.retriesAt.toSorted((left, right) => left - right);
    const starts = new Set(retries);
    const end = requests.at(-1) ?? 0;
    for (let from = requests[0] ?? 0; from < end; from += CHECK_MILLISECONDS) {
      starts.add(from);
    }
    let worst = -Infinity;
    for (const from of starts) {
      const windows = [from, from - WINDOW_MILLISECONDS, from - WINDOW_MILLISECONDS / 2];
      const counted = Math.max(...windows.map((start) => countWindow(requests, start)));
      worst = Math.max(worst, countWindow(retries, from) - RATIO * counted - SLACK);
    }
    return worst;
  }

  private add(addedAt: number): void {
    const daemon = { addedAt, budget: undefined, startsAt: this.now };
    this.daemons.push(daemon);
    this.start(daemon, this.daemons.length - 1);
  }

  private start(daemon: VirtualDaemon, index: number): void {
    const startedAt = this.now;
    const divide = (): { position: number; daemons: number } => {
      let position = UNKNOWN;
      let daemons = 0;
      this.daemons.forEach(({ addedAt }, other) => {
        const isKnown = other === index || addedAt <= startedAt;
        if (isKnown || this.now - addedAt >= KNOWN_MILLISECONDS) {
          position = other === index ? daemons : position;
          daemons += 1;
        }
      });
      return { position, daemons };
    };
    Object.assign(daemon, {
      budget: (this.options.createBudget ?? createEntryBudget)(divide, startedAt),
    });
  }

  private kill(index: number, downMilliseconds: number): void {
    const daemon = this.daemons[index];
    if (daemon !== undefined) {
      daemon.budget = undefined;
      daemon.startsAt = this.now + downMilliseconds;
    }
  }

  /** A request to a daemon that is down is sent, too, and arrives nowhere. */
  private request(repeats: number): void {
    this.requestsAt.push(this.now);
    const budget = this.chooseDaemon()?.budget;
    if (budget === undefined) {
      return;
    }
    const { random, delayMilliseconds = 0, failedShare = 1 } = this.options;
    budget.countRequest(this.now);
    for (let repeat = 0; repeat < repeats; repeat += 1) {
      if (random() >= failedShare) {
        return;
      }
      this.wanted += 1;
      if (!budget.tryTake(this.now)) {
        return;
      }
      this.retriesAt.push(this.now + random() * delayMilliseconds);
    }
  }

  private chooseDaemon(): VirtualDaemon | undefined {
    const weightOf = (index: number): number => this.weights[index % this.weights.length] as number;
    const total = this.daemons.reduce((sum, _, index) => sum + weightOf(index), 0);
    let left = this.options.random() * total;
    for (const [index, daemon] of this.daemons.entries()) {
      left -= weightOf(index);
      if (left < 0) {
        return daemon;
      }
    }
    return undefined;
  }
}
