/**
 * The interface through which the gateway acquires slots at endpoints. A slot permits one attempt at one endpoint.
 */
import type { Outcome } from '@dogwoodstall/datagrams';
import type { Announcement, Route } from '@dogwoodstall/traffic';

/** Parameters of a slot acquisition. */
export interface SlotAcquireOptions {
  readonly requestId: string;
  readonly service: string;
  readonly route: Route;
  /** Organisation of the caller; undefined if it has none. */
  readonly organisation: string | undefined;
  /** Priority of the request; 0 is served first. */
  readonly priority: number;
  readonly deadlineAt: number;
  /** Whether an earlier attempt may have reached an endpoint. */
  readonly repeated: boolean;
  /** Whether the request can be repeated after a failure, so that it may probe an endpoint. */
  readonly mayProbe: boolean;
  readonly bodyBytes: number;
  readonly fingerprint: string;
  readonly excluded: readonly string[];
  /** Whether another daemon relayed the request, so that it must not be relayed again. */
  readonly relayed: boolean;
  /**
   * Load of a cell, as a share of its slots, above which it refuses the slot. The slot is also refused if none is free at
   * once. Undefined if the request may wait for a slot.
   */
  readonly maximumLoad?: number | undefined;
}

/** A slot at an endpoint. Its holder calls `report` exactly once. */
export interface Slot {
  readonly endpoint: string;
  readonly address: string;
  /** Milliseconds without a response after which a hedged attempt may start; undefined when hedging is not allowed. */
  readonly hedgeAfter: number | undefined;
  /** Connections idle for longer are not reused, since the endpoint may have closed them without notice. */
  readonly maximumIdleMilliseconds: number;
  /** Whether the address is that of another daemon, which sends the request to an endpoint. */
  readonly viaPeer?: boolean;
  readonly report: (report: SlotReport) => void;
}

/** The result of the attempt that used a slot. */
export interface SlotReport {
  readonly outcome: Outcome;
  readonly elapsed: number;
  readonly load: number | undefined;
  readonly silent: boolean;
  /** How long the connection had been idle before the attempt; 0 for a new connection. */
  readonly idleMilliseconds: number;
  /** What the endpoint announced; null if nothing or if there was no complete response. */
  readonly announcement: Announcement | null;
  /** Whether the attempt was abandoned because another one of the request was answered. */
  readonly superseded?: boolean;
}

/** The report on a slot for which no attempt was made. */
export const unusedReport: SlotReport = {
  outcome: 'unused',
  elapsed: 0,
  load: undefined,
  silent: true,
  idleMilliseconds: 0,
  announcement: null,
};

/** Why a slot was refused. */
export type SlotRefusalReason =
  'no-endpoint' | 'overload' | 'retry-budget' | 'crashing' | 'stopping';

/** A granted slot or a refusal. */
export type SlotDecision =
  | { readonly kind: 'slot'; readonly slot: Slot }
  | { readonly kind: 'refused'; readonly reason: SlotRefusalReason; readonly retryAfter: number };

/** Grants slots at endpoints. */
export interface SlotSource {
  /** Resolves with a decision. A slot granted after `signal` is aborted is reported as unused. */
  acquire(options: SlotAcquireOptions, signal: AbortSignal): Promise<SlotDecision>;
}

/** The retry budgets of the daemon for the requests of its own callers, by service. */
export interface RetryBudgets {
  /** Counts a request of a caller. */
  readonly countRequest: (service: string) => void;
  /** Whether requests may probe endpoints, whose failures need retries. */
  readonly mayProbe: (service: string) => boolean;
  /** Whether a hedge would leave the given share of the budget for retries after failures. */
  readonly hasReserve: (service: string, share: number) => boolean;
  /** Whether a retry is left. */
  readonly canRetry: (service: string) => boolean;
  /**
   * Consumes one retry; returns undefined if none was left, and otherwise a function that returns the retry if it
   * certainly reached no endpoint.
   */
  readonly take: (service: string) => (() => void) | undefined;
}
