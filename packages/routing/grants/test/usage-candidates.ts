/**
 * Other designs for usage limits, which are compared with the one in use. All daemons know each other's counts after an
 * interval; what that costs in messages is not counted.
 */
import type * as grants from '../src/index.js';
import type { Limiter, LimiterOptions } from './usage-fleet.js';

const noChange = (): void => {};
const SHARE_MILLISECONDS = 1000;
const COUNT_MILLISECONDS = 250;
/** Part of the limit that is divided evenly while the rest follows demand. */
const EVEN_SHARE = 0.2;

class Bucket {
  private level: number | undefined;

  private updatedAt = 0;

  tryTake(rate: number, depth: number, now: number): boolean {
    const gained = (rate * (now - this.updatedAt)) / 1000;
    this.level = Math.min(depth, (this.level ?? depth) + gained);
    this.updatedAt = now;
    if (this.level < 1) {
      return false;
    }
    this.level -= 1;
    return true;
  }
}

/** Admits by the given function and sends the counts of each interval to all others. */
function createCounting(
  options: LimiterOptions,
  intervalMilliseconds: number,
  decide: (
    organisation: string,
    limit: grants.UsageLimit,
    known: ReadonlyMap<string, readonly [number, number][]>,
    own: readonly number[],
  ) => boolean,
  counted: 'asked' | 'admitted',
): Limiter {
  const { windowMilliseconds } = options.tolerance();
  /** Times and counts that other daemons reported, by organisation. */
  const known = new Map<string, [number, number][]>();
  const own = new Map<string, number[]>();
  const unreported = new Map<string, number>();
  let reportedAt = options.now();
  const count = (organisation: string): void => {
    unreported.set(organisation, (unreported.get(organisation) ?? 0) + 1);
    own.get(organisation)?.push(options.now());
  };
  return {
    admit: (organisation, respond) => {
      const limit = options.findLimit(organisation) as grants.UsageLimit;
      const from = options.now() - windowMilliseconds;
      const reports = (known.get(organisation) ?? []).filter(([at]) => at > from);
      known.set(organisation, reports);
      const times = (own.get(organisation) ?? []).filter((at) => at > from);
      own.set(organisation, times);
      const admitted = decide(organisation, limit, known, times);
      if (admitted || counted === 'asked') {
        count(organisation);
      }
      respond({ kind: admitted ? 'admitted' : 'refused' });
    },
    receive: (_, message) => {
      if (message.kind === 'lend') {
        const { organisation, tokens } = message;
        const reports = known.get(organisation) ?? [];
        reports.push([options.now(), tokens]);
        known.set(organisation, reports);
      }
    },
    tick: () => {
      if (options.now() - reportedAt < intervalMilliseconds) {
        return;
      }
      reportedAt = options.now();
      for (const [organisation, tokens] of unreported) {
        for (const name of options.rank()) {
          if (name !== options.self) {
            options.send(name, {
              kind: 'lend',
              sequence: 0,
              organisation,
              tokens,
              retryAfter: 0,
              settling: false,
              share: 0,
            });
          }
        }
      }
      unreported.clear();
    },
  };
}

const sumCounts = (reports: readonly (readonly [number, number])[]): number =>
  reports.reduce((sum, [, tokens]) => sum + tokens, 0);

/** Each daemon has the same part of each limit. */
export const createFixedShare = (options: LimiterOptions): Limiter => {
  const buckets = new Map<string, Bucket>();
  return {
    admit: (organisation, respond) => {
      const { requestsPerSecond, burst } = options.findLimit(organisation) as grants.UsageLimit;
      const bucket = buckets.get(organisation) ?? new Bucket();
      buckets.set(organisation, bucket);
      const daemons = options.rank().length;
      const depth = Math.max(1, (burst + options.tolerance().slack) / daemons);
      const admitted = bucket.tryTake(requestsPerSecond / daemons, depth, options.now());
      respond({ kind: admitted ? 'admitted' : 'refused' });
    },
    receive: noChange,
    tick: noChange,
  };
};

/** Each daemon has a part that follows its share of the demand of the last window. */
export const createDemandShare = (options: LimiterOptions): Limiter => {
  const buckets = new Map<string, Bucket>();
  return createCounting(
    options,
    SHARE_MILLISECONDS,
    (organisation, { requestsPerSecond, burst }, known, own) => {
      const bucket = buckets.get(organisation) ?? new Bucket();
      buckets.set(organisation, bucket);
      const others = sumCounts(known.get(organisation) ?? []);
      const demand = own.length + others === 0 ? 0 : own.length / (own.length + others);
      const share = EVEN_SHARE / options.rank().length + (1 - EVEN_SHARE) * demand;
      const depth = Math.max(1, (burst + options.tolerance().slack) * share);
      return bucket.tryTake(requestsPerSecond * share, depth, options.now());
    },
    'asked',
  );
};

/** Requests are admitted until the counts of all daemons, which are late, reach the limit. */
export const createLateCounts = (options: LimiterOptions): Limiter =>
  createCounting(
    options,
    COUNT_MILLISECONDS,
    (organisation, { requestsPerSecond, burst }, known, own) => {
      const { windowMilliseconds } = options.tolerance();
      const admitted = own.length + sumCounts(known.get(organisation) ?? []);
      return admitted < (requestsPerSecond * windowMilliseconds) / 1000 + burst;
    },
    'admitted',
  );
