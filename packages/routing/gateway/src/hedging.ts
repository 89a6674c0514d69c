/**
 * Decides which requests are hedged: when a request is later than others of its route, and whether the share of hedges
 * and the retry budget allow a second attempt. Whether slots are free is decided by the dispatcher, which has the state
 * of the cell. Without settings, each idempotent request is hedged after the delay that the dispatcher sent, as far as
 * the retry budget allows.
 */
import type { Route } from '@dogwoodstall/traffic';
import { Hedge, type HedgeEvent } from './hedge.js';
import { HedgeLimit } from './hedge-limit.js';
import { ResponseTimes } from './response-times.js';
import type { RetryBudgets } from './slots.js';

/** Limits that the operator sets. */
export interface HedgingSettings {
  /** Hedges per request that may be repeated. */
  readonly share: number;
  /** A request is late when it takes longer than this share of the recent requests of its route. */
  readonly quantile: number;
  /** Load of a cell, as a share of its slots, above which it grants no slot for a hedge. */
  readonly maximumLoad: number;
  /** Share of the retry budget that is kept for retries after failures. */
  readonly reserve: number;
}

/** An event of a hedge, for the log and the metrics. */
export interface HedgeDecision {
  readonly event: HedgeEvent;
  readonly route: string;
  readonly service: string;
}

/** The request that a hedge belongs to. */
export interface HedgedRequest {
  readonly route: Route;
  readonly service: string;
}

/** Options of `Hedging`. */
export interface HedgingOptions {
  /** Returns the settings in force; undefined if hedges are limited by the retry budget alone. */
  readonly settings: () => HedgingSettings | undefined;
  readonly onDecision: (decision: HedgeDecision) => void;
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
}

/** Decides on the hedges of one daemon. */
export class Hedging {
  private readonly times = new Map<string, ResponseTimes>();

  private readonly limits = new Map<string, HedgeLimit>();

  constructor(private readonly options: HedgingOptions) {}

  /** Whether settings limit hedges, so that one that is refused now may be allowed later. */
  get isLimited(): boolean {
    return this.options.settings() !== undefined;
  }

  /** Counts a request of a caller. */
  countRequest({ route, service }: HedgedRequest): void {
    const settings = this.options.settings();
    if (settings === undefined) {
      // What was saved before a change of the settings does not apply after it.
      this.limits.clear();
    } else if (route.idempotent) {
      this.getLimit(service).countRequest(settings.share);
    }
  }

  /**
   * Returns the milliseconds without a complete response after which a request is late; undefined if it is never hedged.
   * `hedgeAfter` is the delay that the dispatcher sent with the slot.
   */
  getDelay(route: Route, hedgeAfter: number | undefined): number | undefined {
    const settings = this.options.settings();
    if (hedgeAfter === undefined || !route.idempotent) {
      return undefined;
    }
    if (settings === undefined) {
      return hedgeAfter;
    }
    const bounds = { fallback: hedgeAfter, target: route.targetMilliseconds };
    const times = this.times.get(route.name);
    return times?.getLateness(settings.quantile, bounds, this.options.now()) ?? hedgeAfter;
  }

  /**
   * Records the response time of a first attempt. One that was cancelled without a response is recorded as well if it was
   * late; otherwise hedges would make the others look fast.
   */
  recordTime(route: Route, milliseconds: number): void {
    if (!route.idempotent) {
      return;
    }
    const times = this.times.get(route.name) ?? new ResponseTimes();
    this.times.set(route.name, times);
    times.add(milliseconds, this.options.now());
  }

  /** Returns a hedge for a request that is late, or undefined if none is allowed now. */
  tryBegin(
    { route, service }: HedgedRequest,
    retryBudgets: Pick<RetryBudgets, 'hasReserve'>,
  ): Hedge | undefined {
    if (!route.idempotent) {
      return undefined;
    }
    const report = (event: HedgeEvent): void =>
      this.options.onDecision({ event, route: route.name, service });
    const settings = this.options.settings();
    if (settings === undefined) {
      return new Hedge(undefined, report, () => {});
    }
    if (!retryBudgets.hasReserve(service, settings.reserve)) {
      report('refused-budget');
      return undefined;
    }
    const limit = this.getLimit(service);
    if (settings.share === 0 || !limit.tryTake()) {
      report('refused-share');
      return undefined;
    }
    return new Hedge(settings.maximumLoad, report, () => limit.giveBack());
  }

  /** Forgets routes that are no longer in force. */
  retainRoutes(names: ReadonlySet<string>): void {
    for (const name of this.times.keys()) {
      if (!names.has(name)) {
        this.times.delete(name);
      }
    }
  }

  private getLimit(service: string): HedgeLimit {
    const limit = this.limits.get(service) ?? new HedgeLimit();
    this.limits.set(service, limit);
    return limit;
  }
}
