/**
 * The retry budgets of one daemon for the requests of its own callers, by service.
 */
import type * as gateway from '@dogwoodstall/gateway';
import * as grants from '@dogwoodstall/grants';

/** Interval at which the state of the budgets is reported. */
const REPORT_MILLISECONDS = 1000;

/** Options of `RetryBudgets`. */
export interface RetryBudgetsOptions {
  /** Returns this daemon's share of the budget of a service. */
  readonly share: (service: string) => grants.RetryBudgetShare;
  /** Called each second, for each service that is observed or had a retry refused, with the budget of a service and the retries that were refused for it since. */
  readonly onState: (service: string, state: grants.RetryBudgetState, refused: number) => void;
  /** Whether states are of use for which no retry was refused; by default they are. */
  readonly isObserved?: () => boolean;
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
}

/** The budget of a service and the retries that were refused for it since the last report. */
interface ServiceBudget {
  readonly budget: grants.EntryRetryBudget;
  readonly windowMilliseconds: number;
  refused: number;
}

/** Counts requests and retries by service. */
export class RetryBudgets implements gateway.RetryBudgets {
  private readonly services = new Map<string, ServiceBudget>();

  private readonly startedAt: number;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RetryBudgetsOptions) {
    this.startedAt = options.now();
  }

  start(): void {
    this.timer = setInterval(() => this.report(), REPORT_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  countRequest(service: string): void {
    this.getOrCreate(service).budget.countRequest(this.options.now());
  }

  mayProbe(service: string): boolean {
    return this.getOrCreate(service).budget.hasProbeReserve(this.options.now());
  }

  hasReserve(service: string, share: number): boolean {
    return this.getOrCreate(service).budget.hasReserve(this.options.now(), share);
  }

  canRetry(service: string): boolean {
    const entry = this.getOrCreate(service);
    const canRetry = entry.budget.countRemaining(this.options.now()) >= 1;
    entry.refused += canRetry ? 0 : 1;
    return canRetry;
  }

  take(service: string): (() => void) | undefined {
    const entry = this.getOrCreate(service);
    const takenAt = this.options.now();
    if (!entry.budget.tryTake(takenAt)) {
      entry.refused += 1;
      return undefined;
    }
    return () => entry.budget.giveBack(takenAt);
  }

  private report(): void {
    const isObserved = this.options.isObserved?.() ?? true;
    for (const [service, entry] of this.services) {
      if (!isObserved && entry.refused === 0) {
        continue;
      }
      this.options.onState(service, entry.budget.readState(this.options.now()), entry.refused);
      entry.refused = 0;
    }
  }

  private getOrCreate(service: string): ServiceBudget {
    const known = this.services.get(service);
    const { windowMilliseconds } = this.options.share(service);
    if (known?.windowMilliseconds === windowMilliseconds) {
      return known;
    }
    // After a change of the window, what was spent before is not known, as after a start.
    const startedAt = known === undefined ? this.startedAt : this.options.now();
    const budget = new grants.EntryRetryBudget(() => this.options.share(service), startedAt);
    const created = { budget, windowMilliseconds, refused: 0 };
    this.services.set(service, created);
    return created;
  }
}
