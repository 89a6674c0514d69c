/**
 * Where the slots of endpoints come from.
 */
import type { Outcome } from '@dogwoodstall/datagrams';
import type { Route } from '@dogwoodstall/traffic';

/** A request for a slot. */
export interface SlotAsk {
  readonly requestId: string;
  readonly service: string;
  readonly route: Route;
  readonly deadlineAt: number;
  /** Whether an endpoint may have received the request before. */
  readonly repeated: boolean;
  readonly bodyBytes: number;
  readonly fingerprint: string;
  readonly excluded: readonly string[];
}

/** A slot at an endpoint; its end is reported once. */
export interface Slot {
  readonly endpoint: string;
  readonly address: string;
  /** Silence after which a second endpoint is worth it; undefined when none may be asked for. */
  readonly hedgeAfter: number | undefined;
  /** Connections that rested for longer are not used again; endpoints may have forgotten them. */
  readonly reuseWithinMilliseconds: number;
  readonly report: (end: SlotEnd) => void;
}

/** How an attempt on a slot ended. */
export interface SlotEnd {
  readonly outcome: Outcome;
  readonly elapsed: number;
  readonly load: number | undefined;
  readonly silent: boolean;
  /** How long the connection had rested before; 0 for a new one. */
  readonly restedMilliseconds: number;
}

/** Why no slot was given. */
export type SlotRefusalReason =
  'no-endpoint' | 'overload' | 'retry-budget' | 'crashing' | 'stopping';

/** A slot or the refusal of one. */
export type SlotDecision =
  | { readonly kind: 'slot'; readonly slot: Slot }
  | { readonly kind: 'refused'; readonly reason: SlotRefusalReason; readonly retryAfter: number };

/** Gives slots. */
export interface SlotSource {
  /** Resolves with a decision; after `signal` was aborted, a slot that comes late is reported unused. */
  acquire(ask: SlotAsk, signal: AbortSignal): Promise<SlotDecision>;
}
