/**
 * What a keeper of usage limits lends. Each daemon pledges its part of all limits to one keeper at a time, and a keeper
 * lends the share of each limit that is pledged to it. Whatever daemons are partitioned or restarted, the shares of all
 * keepers add up to at most one; a bucket begins empty, so that a new keeper repeats nothing that another has lent.
 */
import type { LendingLimit } from './usage-limit.js';
import type { PledgeContent } from './usage-messages.js';

/** Time for which a keeper counts a pledge after its receipt. */
export const PLEDGE_MILLISECONDS = 1000;

/** A daemon's pledge of its part to a keeper. */
export interface Pledge extends PledgeContent {
  readonly name: string;
}

interface KnownPledge extends Pledge {
  readonly expiresAt: number;
}

/** What all buckets of a keeper gain, as integrals since its start. */
interface Gains {
  /** Integral of the share. */
  readonly shareTime: number;
  /** Sum of the parts that were pledged anew after a rest. */
  readonly restedParts: number;
}

/** A fall of the share, at which all buckets are cut down to it. */
interface Fall extends Gains {
  readonly share: number;
}

interface Bucket {
  level: number;
  gains: Gains;
  /** Number of falls that it has gone through. */
  falls: number;
}

/** Result of a request for tokens. */
export interface Loan {
  readonly tokens: number;
  /** Milliseconds until a token is there; 0 if any was lent. */
  readonly retryAfter: number;
}

/** Factor by which the share of a keeper rises at least when its buckets count as new. */
const RISE = 1.5;
/** Daemons of the ranking that may keep limits for others. */
export const KEEPER_CANDIDATES = 6;
/** Falls of the share that buckets which were not used meanwhile remember. */
const MAXIMUM_FALLS = 200;
/** Longest time that a caller is told to wait. */
const MAXIMUM_RETRY_MILLISECONDS = 10_000;

/** Options of `UsageLedger`. */
export interface UsageLedgerOptions {
  /** Returns the names of all known daemons in the order in which they may become keepers. */
  readonly listMembers: () => readonly string[];
  readonly findLimit: (organisation: string) => LendingLimit | undefined;
  readonly startedAt: number;
}

/** Pledges and buckets of one keeper. */
export class UsageLedger {
  private readonly pledges = new Map<string, KnownPledge>();

  private readonly buckets = new Map<string, Bucket>();

  private earliestExpiryAt = Infinity;

  private currentShare = 0;

  /** The members by which the share was computed last. */
  private members: readonly string[] | undefined;

  private gains: Gains = { shareTime: 0, restedParts: 0 };

  /** The last falls of the share. */
  private falls: Fall[] = [];

  private forgottenFalls = 0;

  private updatedAt: number;

  /** Time at which the share last rose by much. */
  private risenAt: number;

  /** Share from which such a rise is measured. */
  private settledShare = 0;

  constructor(private readonly options: UsageLedgerOptions) {
    this.updatedAt = options.startedAt;
    this.risenAt = options.startedAt;
  }

  /** Whether buckets may be empty because daemons have not pledged to this keeper, or only for a short time. */
  isSettling(milliseconds: number, now: number): boolean {
    return this.computeShare(now) === 0 || now - this.risenAt < milliseconds;
  }

  /** Whether the pledge of another daemon is in force. */
  isKeeping(self: string, now: number): boolean {
    this.advance(now);
    return this.pledges.size > (this.pledges.has(self) ? 1 : 0);
  }

  /** Lists the known daemons whose pledge is not in force. */
  listSilent(now: number): string[] {
    this.advance(now);
    return this.options.listMembers().filter((name) => !this.pledges.has(name));
  }

  /** Fraction of each limit that this keeper may lend. */
  computeShare(now: number): number {
    this.advance(now);
    return this.currentShare;
  }

  accept(pledge: Pledge, now: number): void {
    this.advance(now);
    const expiresAt = now + PLEDGE_MILLISECONDS;
    const known = this.pledges.get(pledge.name);
    const isNew = known === undefined;
    const isChanged = isNew || known.certain !== pledge.certain || known.keeping !== pledge.keeping;
    this.pledges.set(pledge.name, { ...pledge, expiresAt });
    this.earliestExpiryAt = Math.min(this.earliestExpiryAt, expiresAt);
    if (isChanged || this.options.listMembers() !== this.members) {
      this.updateShare();
    }
    if (isNew && pledge.rested) {
      const part = 1 / Math.max(1, this.options.listMembers().length);
      this.gains = { ...this.gains, restedParts: this.gains.restedParts + part };
    }
  }

  release(name: string, now: number): void {
    this.advance(now);
    if (this.pledges.delete(name)) {
      this.updateShare();
    }
  }

  /** Lends up to the wanted number of tokens. */
  lend(organisation: string, wanted: number, now: number): Loan {
    this.advance(now);
    const limit = this.options.findLimit(organisation);
    if (limit === undefined) {
      return { tokens: wanted, retryAfter: 0 };
    }
    const bucket = this.updateBucket(organisation, limit);
    const tokens = Math.min(wanted, Math.floor(bucket.level));
    bucket.level -= tokens;
    if (tokens > 0) {
      return { tokens, retryAfter: 0 };
    }
    const rate = limit.tokensPerMillisecond * this.currentShare;
    const missing = rate > 0 ? (1 - bucket.level) / rate : MAXIMUM_RETRY_MILLISECONDS;
    return { tokens: 0, retryAfter: Math.min(MAXIMUM_RETRY_MILLISECONDS, Math.ceil(missing)) };
  }

  private advance(now: number): void {
    if (this.earliestExpiryAt <= now) {
      this.earliestExpiryAt = Infinity;
      for (const [name, { expiresAt }] of this.pledges) {
        if (expiresAt <= now) {
          this.pledges.delete(name);
        } else {
          this.earliestExpiryAt = Math.min(this.earliestExpiryAt, expiresAt);
        }
      }
      this.updateShare();
    }
    const gained = this.currentShare * Math.max(0, now - this.updatedAt);
    this.gains = { ...this.gains, shareTime: this.gains.shareTime + gained };
    this.updatedAt = now;
  }

  private updateBucket(organisation: string, limit: LendingLimit): Bucket {
    let bucket = this.buckets.get(organisation);
    if (bucket === undefined) {
      bucket = { level: 0, gains: { shareTime: 0, restedParts: 0 }, falls: 0 };
      this.buckets.set(organisation, bucket);
    }
    if (bucket.falls < this.forgottenFalls) {
      const [first] = this.falls;
      Object.assign(bucket, { level: 0, gains: first, falls: this.forgottenFalls });
    }
    for (const fall of this.falls.slice(bucket.falls - this.forgottenFalls)) {
      UsageLedger.fill(bucket, limit, fall, fall.share);
    }
    bucket.falls = this.forgottenFalls + this.falls.length;
    UsageLedger.fill(bucket, limit, this.gains, this.currentShare);
    return bucket;
  }

  /** Adds what a bucket has gained, up to the depth for a share. */
  private static fill(bucket: Bucket, limit: LendingLimit, gains: Gains, share: number): void {
    const { tokensPerMillisecond, initial, depth } = limit;
    const gained =
      tokensPerMillisecond * (gains.shareTime - bucket.gains.shareTime) +
      initial * (gains.restedParts - bucket.gains.restedParts);
    Object.assign(bucket, { level: Math.min(depth * share, bucket.level + gained), gains });
  }

  private updateShare(): void {
    const members = this.options.listMembers();
    this.members = members;
    let certain = 0;
    let uncertain = 0;
    let isOnlyKeeper = true;
    for (const [position, name] of members.entries()) {
      const pledge = this.pledges.get(name);
      isOnlyKeeper &&= position >= KEEPER_CANDIDATES || pledge?.keeping === false;
      certain += pledge?.certain === true ? 1 : 0;
      uncertain += pledge?.certain === false ? 1 : 0;
    }
    // A daemon's earlier process may have pledged to another keeper, unless no other candidate keeps pledges.
    const counted = certain + (isOnlyKeeper ? uncertain : 0);
    const share = Math.min(1, counted / Math.max(1, members.length));
    const isLower = share < this.currentShare;
    if (share > RISE * this.settledShare) {
      this.risenAt = this.updatedAt;
      this.settledShare = share;
    }
    this.settledShare = Math.min(this.settledShare, share);
    this.currentShare = share;
    if (isLower) {
      this.falls.push({ ...this.gains, share });
      if (this.falls.length > MAXIMUM_FALLS) {
        this.falls.shift();
        this.forgottenFalls += 1;
      }
    }
  }
}
