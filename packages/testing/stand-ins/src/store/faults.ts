/**
 * Faults, rate limits and call counts of the store stand-in.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import * as zod from 'zod';
import { TokenBucket } from './token-bucket.js';

/** Faults and rate limits that can be set at run time over the control address. */
export const storeFaultsSchema = zod.strictObject({
  /** `reset` resets connections immediately, `silent` accepts calls and never responds. */
  outage: zod.enum(['none', 'reset', 'silent']).default('none'),
  delayMilliseconds: zod.number().min(0).default(0),
  /** Share of the writes that are applied but whose response is lost. */
  lostWriteAnswerShare: zod.number().min(0).max(1).default(0),
  /** Number of next writes that are applied but whose response is lost. */
  lostWriteAnswersNext: zod.number().int().min(0).default(0),
  /** The platform's documented limit is "several hundred" writes per second. */
  writesPerSecond: zod.number().positive().default(400),
  readsPerSecond: zod.number().positive().default(2000),
});

/** Complete set of faults and rate limits of the store stand-in. */
export type StoreFaults = zod.output<typeof storeFaultsSchema>;

/** Kinds of calls that are counted; a watch counts once, when it is opened. */
export const callKinds = [
  'range',
  'put',
  'deleteRange',
  'transaction',
  'leaseGrant',
  'leaseKeepAlive',
  'leaseRevoke',
  'watch',
] as const;

/** Kind of a call to the store; it decides which rate limit applies. */
export type CallKind = (typeof callKinds)[number];

const readKinds: ReadonlySet<CallKind> = new Set<CallKind>(['range', 'watch']);

/** Returns whether calls of a kind never modify the store. */
export function isRead(kind: CallKind): boolean {
  return readKinds.has(kind);
}

/** Holds the active faults, applies the rate limits and counts the calls. */
export class StoreConditions {
  private current: StoreFaults = storeFaultsSchema.parse({});

  private readonly random;

  private reads: TokenBucket;

  private writes: TokenBucket;

  private readonly counts = new Map<string, number>();

  private readonly now: () => number;

  constructor(seed: number, now: () => number) {
    this.now = now;
    this.random = xoroshiro128plus(seed);
    this.reads = new TokenBucket(this.current.readsPerSecond, now());
    this.writes = new TokenBucket(this.current.writesPerSecond, now());
  }

  get faults(): StoreFaults {
    return this.current;
  }

  /** Merges the given faults into the current ones and refills the rate limits. */
  set(partial: unknown): StoreFaults {
    this.current = storeFaultsSchema.parse({ ...this.current, ...(partial as object) });
    this.reads = new TokenBucket(this.current.readsPerSecond, this.now());
    this.writes = new TokenBucket(this.current.writesPerSecond, this.now());
    return this.current;
  }

  /** Counts a call; returns false when the rate limit rejects it. */
  admit(kind: CallKind): boolean {
    this.count(kind);
    const admitted = isRead(kind)
      ? this.reads.take(this.current.readsPerSecond, this.now())
      : this.writes.take(this.current.writesPerSecond, this.now());
    if (!admitted) {
      this.count('limited');
    }
    return admitted;
  }

  /** Returns whether the response to the current write must be dropped. */
  shouldLoseResponse(): boolean {
    if (this.current.lostWriteAnswersNext > 0) {
      this.current = {
        ...this.current,
        lostWriteAnswersNext: this.current.lostWriteAnswersNext - 1,
      };
      return true;
    }
    return uniformFloat64(this.random) < this.current.lostWriteAnswerShare;
  }

  /** Returns the number of calls by kind; `limited` counts calls that a rate limit rejected. */
  getCallCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}
