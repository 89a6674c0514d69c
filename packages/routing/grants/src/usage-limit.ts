/**
 * Division of an organisation's usage limit. In any window all daemons together may run
 * `(rate * window + burst) * (1 + overage) + slack` requests. Keepers lend tokens from buckets that fill at a little more
 * than the rate; the tokens expire after `TOKEN_MILLISECONDS`. A part of the slack is for daemons that reach no keeper.
 */

/** The limit of an organisation. */
export interface UsageLimit {
  readonly requestsPerSecond: number;
  readonly burst: number;
}

/** Tolerance of the limits of all organisations. */
export interface UsageTolerance {
  readonly windowMilliseconds: number;
  /** Requests beyond the limit that are tolerated in a window, as a fraction of it. */
  readonly overage: number;
  /** The same as a number of requests. */
  readonly slack: number;
}

/** Time for which a lent token can be used. */
export const TOKEN_MILLISECONDS = 150;
/**
 * Fractions of the slack: added to the rate and to the burst that keepers lend, for the buckets of new keepers, and for
 * daemons that reach no keeper. The rest covers daemons that others don't know yet.
 */
const SLACK_SHARES = { rate: 0.4, burst: 0.1, initial: 0.2, own: 0.2 };
/** Fractions of the overage, likewise. */
const OVERAGE_SHARES = { rate: 0.6, burst: 0.5, initial: 0.25 };

/** What the keepers of an organisation may lend together. */
export interface LendingLimit {
  readonly tokensPerMillisecond: number;
  readonly depth: number;
  /** Tokens with which the buckets of new keepers begin, once in a window for each daemon's part. */
  readonly initial: number;
}

/** Returns what all keepers together may lend. */
export function computeLendingLimit(limit: UsageLimit, tolerance: UsageTolerance): LendingLimit {
  const { windowMilliseconds, overage, slack } = tolerance;
  const inWindow = (limit.requestsPerSecond * windowMilliseconds) / 1000;
  const lentInWindow = inWindow * (1 + overage * OVERAGE_SHARES.rate) + slack * SLACK_SHARES.rate;
  const depth = limit.burst * (1 + overage * OVERAGE_SHARES.burst) + slack * SLACK_SHARES.burst;
  return {
    // Tokens that are used in a window were lent in it or shortly before.
    tokensPerMillisecond: lentInWindow / (windowMilliseconds + TOKEN_MILLISECONDS),
    depth: Math.max(1, depth),
    initial: inWindow * overage * OVERAGE_SHARES.initial + slack * SLACK_SHARES.initial,
  };
}

/** Returns the requests in a window that the daemon at a position may admit while it reaches no keeper. */
export function computeOwnAllowance(slack: number, position: number, daemons: number): number {
  const spent = slack * SLACK_SHARES.own;
  const countUpTo = (end: number): number => Math.floor((end * spent) / Math.max(1, daemons));
  return position < 0 ? 0 : countUpTo(position + 1) - countUpTo(position);
}
