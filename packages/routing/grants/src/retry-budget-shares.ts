/**
 * Divides the retry budget of the fleet among its daemons.
 */
import type { RetryBudgetShare } from './entry-retry-budget.js';

/** The configured retry budget of the fleet. */
export interface RetryBudget {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries per window. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/**
 * Share of the budget that the daemons spend. The rest covers retries that arrive up to a tenth of a window late, and
 * daemons that don't know yet of others.
 */
const SPENT_SHARE = 0.9;

/**
 * Returns the share of the daemon at a position among all daemons, which begins at 0. The parts of the slack are whole
 * numbers and add up to less than the slack.
 */
export function computeRetryBudgetShare(
  { ratio, slack, windowMilliseconds }: RetryBudget,
  position: number,
  daemons: number,
): RetryBudgetShare {
  const spent = SPENT_SHARE * slack;
  const countUpTo = (end: number): number => Math.floor((end * spent) / daemons);
  return {
    ratio: SPENT_SHARE * ratio,
    slack: countUpTo(position + 1) - countUpTo(position),
    windowMilliseconds,
  };
}
