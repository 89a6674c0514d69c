/**
 * Division of an organisation's usage limit. In any window all daemons together may run
 * `(rate * window + burst) * (1 + overage) + slack` requests. Tokens are lent by keepers at the rate, from buckets whose
 * depths add up to `depth`; they expire after `TOKEN_MILLISECONDS`, which the overage covers. A part of the slack is for
 * daemons that reach no keeper.
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
export const TOKEN_MILLISECONDS = 250;
/** Fraction of the slack that keepers lend on top of the burst. */
const LENT_SLACK_SHARE = 0.3;
/** Fraction of the slack that keepers lend when they have just become keepers. */
const INITIAL_SLACK_SHARE = 0.3;
/** The same as a part of what the overage leaves beside the time that tokens are held. */
const INITIAL_OVERAGE_SHARE = 0.6;
/** Fraction of the slack that daemons spend while they reach no keeper. */
const OWN_SLACK_SHARE = 0.3;

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
  const held = windowMilliseconds + TOKEN_MILLISECONDS;
  // Without enough overage for the time that tokens are held, the rate is lowered instead.
  const factor = Math.min(1, ((1 + overage) * windowMilliseconds) / held);
  const tokensPerMillisecond = (limit.requestsPerSecond * factor) / 1000;
  const spare = Math.max(0, overage * windowMilliseconds - TOKEN_MILLISECONDS);
  return {
    tokensPerMillisecond,
    depth: Math.max(1, limit.burst + slack * LENT_SLACK_SHARE),
    initial: slack * INITIAL_SLACK_SHARE + tokensPerMillisecond * spare * INITIAL_OVERAGE_SHARE,
  };
}

/** Returns the requests in a window that the daemon at a position may admit while it reaches no keeper. */
export function computeOwnAllowance(slack: number, position: number, daemons: number): number {
  const spent = slack * OWN_SLACK_SHARE;
  const countUpTo = (end: number): number => Math.floor((end * spent) / Math.max(1, daemons));
  return position < 0 ? 0 : countUpTo(position + 1) - countUpTo(position);
}
