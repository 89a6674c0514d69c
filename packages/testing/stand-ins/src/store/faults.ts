/**
 * Faults and limits of the store stand-in, and the count of its calls.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import * as zod from 'zod';
import { TokenBucket } from './token-bucket.js';

/** What can be set at run time over the control address. */
export const storeFaultsSchema = zod.strictObject({
  /** `reset` closes connections at once, `silent` accepts calls and never answers. */
  outage: zod.enum(['none', 'reset', 'silent']).default('none'),
  delayMilliseconds: zod.number().min(0).default(0),
  /** Share of the writes that take effect while their answer is lost. */
  lostWriteAnswerShare: zod.number().min(0).max(1).default(0),
  /** The next writes that take effect while their answer is lost. */
  lostWriteAnswersNext: zod.number().int().min(0).default(0),
  /** The platform states "several hundred" writes/s. */
  writesPerSecond: zod.number().positive().default(400),
  readsPerSecond: zod.number().positive().default(2000),
});

export type StoreFaults = zod.output<typeof storeFaultsSchema>;

/** Kinds of calls that are counted; a waiting watch counts once. */
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

export type CallKind = (typeof callKinds)[number];

const readKinds: ReadonlySet<CallKind> = new Set<CallKind>(['range', 'watch']);

/** Returns whether a kind of call changes nothing in the store. */
export function isRead(kind: CallKind): boolean {
  return readKinds.has(kind);
}

/** The faults in force, the rate limits and the call counts. */
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

  /** Replaces the given faults and keeps the others. */
  set(partial: unknown): StoreFaults {
    this.current = storeFaultsSchema.parse({ ...this.current, ...(partial as object) });
    this.reads = new TokenBucket(this.current.readsPerSecond, this.now());
    this.writes = new TokenBucket(this.current.writesPerSecond, this.now());
    return this.current;
  }

  /** Counts a call; returns false when the rate limit refuses it. */
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

  /** Returns whether the answer of the current write is to be lost. */
  losesAnswer(): boolean {
    if (this.current.lostWriteAnswersNext > 0) {
      this.current = {
        ...this.current,
        lostWriteAnswersNext: this.current.lostWriteAnswersNext - 1,
      };
      return true;
    }
    return uniformFloat64(this.random) < this.current.lostWriteAnswerShare;
  }

  /** Calls by kind; `limited` is the number that the rate limits refused. */
  countCalls(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}
