/**
 * Other designs of a daemon's retry budget, for comparison (docs/decisions/0012-retry-budget-of-entries.md).
 */
import { type CreateBudget, RATIO, SLACK, WINDOW_MILLISECONDS } from './retry-budget-fleet.js';

const WINDOW_SHARE = 0.8;

/** Retries of any window up to now stay below a share of the requests of that window, and of the slack. */
export const createSlidingWindow: CreateBudget = (divide) => {
  const requests: number[] = [];
  const retries: number[] = [];
  const trim = (times: number[], now: number): number => {
    const first = times.findIndex((at) => at > now - WINDOW_MILLISECONDS);
    times.splice(0, first === -1 ? times.length : first);
    return times.length;
  };
  return {
    countRequest: (now) => requests.push(now),
    tryTake: (now) => {
      const allowed = RATIO * trim(requests, now) + SLACK / divide().daemons;
      if (trim(retries, now) + 1 > WINDOW_SHARE * allowed) {
        return false;
      }
      retries.push(now);
      return true;
    },
  };
};

/** Each request earns a part of a retry, up to this daemon's part of the slack; empty after a start. */
export const createTokenBucket: CreateBudget = (divide) => {
  let tokens = 0;
  return {
    countRequest: () => {
      tokens = Math.min(tokens + RATIO, Math.max(1, SLACK / divide().daemons));
    },
    tryTake: () => {
      const isLeft = tokens >= 1;
      tokens -= isLeft ? 1 : 0;
      return isLeft;
    },
  };
};
