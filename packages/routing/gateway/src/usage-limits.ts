/**
 * The interface through which the gateway applies the usage caps of organisations.
 */
import type { Organisation } from '@dogwoodstall/traffic';

/** Whether a request is within the usage cap of its organisation. */
export type UsageDecision =
  /** `giveBack` is called if the request certainly reached no endpoint. */
  | { readonly kind: 'admitted'; readonly giveBack: () => void }
  /** `retryAfter` is the time in milliseconds after which a request will be within the cap. */
  | { readonly kind: 'refused'; readonly retryAfter: number };

/** Applies the usage caps of organisations, across all daemons. */
export interface UsageLimits {
  /** Refuses the request, without counting it, when the signal is aborted before there is a decision. */
  readonly admit: (
    organisation: Organisation,
    signal: AbortSignal,
  ) => Promise<UsageDecision> | UsageDecision;
}

const unlimited: UsageDecision = { kind: 'admitted', giveBack: () => {} };

/** Usage limits that admit every request. */
export const noUsageLimits: UsageLimits = { admit: () => unlimited };
