/**
 * One daemon's part in the usage limits of a group of organisations: it borrows tokens from a keeper for the requests of
 * its callers, pledges its part of the limits to that keeper, and lends while others pledge to it. All messages may be
 * lost, late or duplicated.
 */
import { KeeperChoice } from './keeper-choice.js';
import { OwnAllowance } from './own-allowance.js';
import { UsageLedger } from './usage-ledger.js';
import {
  type UsageLimit,
  type UsageTolerance,
  computeLendingLimit,
  computeOwnAllowance,
} from './usage-limit.js';
import type { PledgeContent, PledgePurpose, UsageMessage } from './usage-messages.js';
import { UsageTokens } from './usage-tokens.js';

/** Interval at which `tick` is to be called while requests wait. */
export const USAGE_TICK_MILLISECONDS = 50;
/** Time without a response after which a daemon asks again. */
const RESEND_MILLISECONDS = 60;
/** Longest wait of a request while no keeper responds, or while its keeper has just begun. */
const MAXIMUM_WAIT_MILLISECONDS = 1500;
/** Least time between requests of a daemon for tokens of an organisation that is over its limit. */
const MINIMUM_BLOCK_MILLISECONDS = 100;
/** Time in which the buckets of a new keeper may be empty because it is new. */
const SETTLE_MILLISECONDS = 2500;
/** Requests of an organisation that may wait in any case; others are refused at once. */
const MINIMUM_WAITERS = 8;
/** More may wait if the limit allows more in this time. */
const WAITERS_MILLISECONDS = 100;
/** Time that a caller is told to wait when no keeper responds. */
const UNKNOWN_RETRY_MILLISECONDS = 1000;

/** What becomes of a request; `retryAfter` is in milliseconds. */
export type UsageAdmission =
  | { readonly kind: 'admitted'; readonly source: 'token' | 'own'; readonly giveBack: () => void }
  | { readonly kind: 'refused'; readonly retryAfter: number };

/** Options of `UsageAgent`. */
export interface UsageAgentOptions {
  readonly self: string;
  /** Ranks the known daemons for this group, in the same order on all daemons; empty while they aren't known. */
  readonly rank: () => readonly string[];
  /** Returns the limit of an organisation; undefined without one. */
  readonly findLimit: (organisation: string) => UsageLimit | undefined;
  readonly tolerance: () => UsageTolerance;
  readonly send: (to: string, message: UsageMessage) => void;
  /** Calls back if a daemon's process has certainly ended. */
  readonly checkEnded: (name: string, onEnded: () => void) => void;
  /** Start of the process, in the time of `now`. */
  readonly startedAt: number;
  readonly now: () => number;
}

interface Waiter {
  readonly since: number;
  readonly respond: (admission: UsageAdmission) => void;
}

/** Requests of an organisation that wait for tokens. */
interface Pending {
  readonly waiters: Waiter[];
  /** Times of the requests for tokens that may still be answered, by sequence number. */
  readonly sentAt: Map<number, number>;
  /** Time at which tokens are asked for again. */
  askAt: number;
}

const noChange = (): void => {};

/** Borrows, pledges and lends for one group of organisations. */
export class UsageAgent {
  private readonly ledger: UsageLedger;

  private readonly keepers: KeeperChoice;

  private readonly tokens = new Map<string, UsageTokens>();

  private readonly allowances = new Map<string, OwnAllowance>();

  private readonly pending = new Map<string, Pending>();

  private readonly startedAt: number;

  private lastSequence = 0;

  constructor(private readonly options: UsageAgentOptions) {
    const { self, rank, findLimit, tolerance, now, checkEnded } = options;
    this.startedAt = options.startedAt;
    this.ledger = new UsageLedger({
      listMembers: rank,
      findLimit: (organisation) => {
        const limit = findLimit(organisation);
        return limit && computeLendingLimit(limit, tolerance());
      },
      startedAt: this.startedAt,
    });
    this.keepers = new KeeperChoice({
      self,
      rank,
      startedAt: this.startedAt,
      windowMilliseconds: () => tolerance().windowMilliseconds,
      isKeeping: () => this.ledger.isKeeping(self, now()),
      checkEnded,
      send: (to, message) => this.send(to, message),
      now,
    });
  }

  /** Whether any request waits. */
  get isWaiting(): boolean {
    return this.pending.size > 0;
  }

  /** Fraction of the limits that this daemon may lend. */
  get share(): number {
    return this.ledger.computeShare(this.options.now());
  }

  /** Name of the daemon that this one borrows from. */
  get keeper(): string {
    return this.keepers.target;
  }

  /**
   * Decides about a request of an organisation with a limit; responds at once where it can. Returns a function that withdraws
   * a request that waits.
   */
  admit(organisation: string, respond: (admission: UsageAdmission) => void): () => void {
    const now = this.options.now();
    const tokens = this.getTokens(organisation);
    tokens.countRequest(now);
    const pending = this.pending.get(organisation);
    const giveBack = pending === undefined ? tokens.tryTake(now) : undefined;
    if (giveBack !== undefined) {
      respond({ kind: 'admitted', source: 'token', giveBack });
      return noChange;
    }
    if (tokens.blockedUntil > now) {
      respond({ kind: 'refused', retryAfter: tokens.blockedUntil - now });
      return noChange;
    }
    const waiter = { since: now, respond };
    if (pending !== undefined) {
      if (pending.waiters.length >= this.computeMaximumWaiters(organisation)) {
        respond({ kind: 'refused', retryAfter: UNKNOWN_RETRY_MILLISECONDS });
        return noChange;
      }
      pending.waiters.push(waiter);
      return () => UsageAgent.withdraw(pending, waiter);
    }
    const created = { waiters: [waiter], sentAt: new Map<number, number>(), askAt: now };
    this.pending.set(organisation, created);
    this.borrow(organisation, created, now);
    return () => UsageAgent.withdraw(created, waiter);
  }

  receive(from: string, message: UsageMessage): void {
    const now = this.options.now();
    switch (message.kind) {
      case 'borrow': {
        const { sequence, organisation, wanted, pledge } = message;
        if (pledge !== undefined && this.mustDecline(from)) {
          this.ledger.release(from, now);
          this.respond(from, sequence, 'renew', now);
        }
        this.acceptPledge(from, pledge, now);
        const loan = this.ledger.lend(organisation, wanted, now);
        const settling = this.ledger.isSettling(SETTLE_MILLISECONDS, now);
        const share = this.ledger.computeShare(now);
        this.send(from, { kind: 'lend', sequence, organisation, ...loan, settling, share });
        return;
      }
      case 'lend':
        this.keepers.confirm(from, message.share);
        this.receiveLoan(message, now);
        return;
      case 'pledge': {
        const { purpose, sequence, pledge } = message;
        if (purpose === 'release' || this.mustDecline(from)) {
          this.ledger.release(from, now);
        } else if (purpose === 'renew') {
          this.acceptPledge(from, pledge, now);
        }
        this.respond(from, sequence, purpose, now);
        return;
      }
      default:
        this.keepers.receive(from, message);
    }
  }

  /** Renews the pledge, asks again and ends waits. */
  tick(): void {
    const now = this.options.now();
    this.keepers.tick();
    for (const [organisation, pending] of this.pending) {
      this.endWaits(organisation, pending, now);
      const isDue = now >= pending.askAt;
      if (isDue && pending.waiters.length > 0) {
        this.borrow(organisation, pending, now);
      } else if (isDue) {
        // Until then, tokens that were lent for requests that have been withdrawn are kept for others.
        this.pending.delete(organisation);
      }
    }
    for (const [organisation, tokens] of this.tokens) {
      if (tokens.isIdle(now) && !this.pending.has(organisation)) {
        this.tokens.delete(organisation);
      }
    }
  }

  /** Counts the parts of daemons whose process has ended, which can't lend them. */
  countEnded(): void {
    const { now, checkEnded } = this.options;
    if (this.ledger.computeShare(now()) === 0) {
      return;
    }
    for (const name of this.ledger.listSilent(now())) {
      checkEnded(name, () =>
        this.ledger.accept({ name, certain: false, keeping: false, rested: false }, now()),
      );
    }
  }

  /** Makes the daemons that pledge to this one choose another keeper. */
  stop(): void {
    this.keepers.isStopping = true;
  }

  private mustDecline(name: string): boolean {
    return !this.keepers.isAvailable && name !== this.options.self;
  }

  private respond(to: string, sequence: number, purpose: PledgePurpose, now: number): void {
    const declined = this.mustDecline(to);
    const keeping = this.ledger.isKeeping(this.options.self, now);
    const share = this.ledger.computeShare(now);
    this.send(to, { kind: 'pledged', sequence, purpose, declined, keeping, share });
  }

  private acceptPledge(name: string, pledge: PledgeContent | undefined, now: number): void {
    if (pledge !== undefined && !this.mustDecline(name)) {
      this.ledger.accept({ name, ...pledge }, now);
    }
  }

  private borrow(organisation: string, pending: Pending, now: number): void {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    pending.sentAt.set(sequence, now);
    Object.assign(pending, { askAt: now + RESEND_MILLISECONDS });
    const wanted = this.getTokens(organisation).computeWanted(pending.waiters.length, now);
    const { target, pledge } = this.keepers.beginRequest();
    this.send(target, { kind: 'borrow', sequence, organisation, wanted, pledge });
  }

  private receiveLoan(loan: Extract<UsageMessage, { kind: 'lend' }>, now: number): void {
    const { organisation, sequence, tokens, retryAfter, settling } = loan;
    const pending = this.pending.get(organisation);
    const sentAt = pending?.sentAt.get(sequence);
    if (pending === undefined || sentAt === undefined) {
      return;
    }
    pending.sentAt.delete(sequence);
    const held = this.getTokens(organisation);
    held.add(tokens, sentAt);
    const served = UsageAgent.serve(pending, held, now);
    if (pending.waiters.length === 0) {
      this.pending.delete(organisation);
    } else if (served > 0) {
      this.borrow(organisation, pending, now);
    } else if (settling) {
      pending.askAt = now + USAGE_TICK_MILLISECONDS;
    } else {
      this.pending.delete(organisation);
      const block = Math.max(retryAfter, MINIMUM_BLOCK_MILLISECONDS);
      held.blockedUntil = now + block;
      for (const { respond } of pending.waiters) {
        respond({ kind: 'refused', retryAfter: block });
      }
    }
  }

  private static withdraw({ waiters }: Pending, waiter: Waiter): void {
    const index = waiters.indexOf(waiter);
    if (index >= 0) {
      waiters.splice(index, 1);
    }
  }

  /** Admits waiting requests while there are tokens, and returns their number. */
  private static serve(pending: Pending, held: UsageTokens, now: number): number {
    let served = 0;
    while (pending.waiters.length > 0) {
      const giveBack = held.tryTake(now);
      if (giveBack === undefined) {
        break;
      }
      served += 1;
      pending.waiters.shift()?.respond({ kind: 'admitted', source: 'token', giveBack });
    }
    return served;
  }

  /** Uses this daemon's own allowance for requests that have waited too long. */
  private endWaits(organisation: string, pending: Pending, now: number): void {
    for (;;) {
      const [waiter] = pending.waiters;
      if (waiter === undefined || now - waiter.since < MAXIMUM_WAIT_MILLISECONDS) {
        return;
      }
      pending.waiters.shift();
      waiter.respond(
        this.tryTakeOwn(organisation, now)
          ? { kind: 'admitted', source: 'own', giveBack: noChange }
          : { kind: 'refused', retryAfter: UNKNOWN_RETRY_MILLISECONDS },
      );
    }
  }

  private computeMaximumWaiters(organisation: string): number {
    const perSecond = this.options.findLimit(organisation)?.requestsPerSecond ?? 0;
    return Math.max(MINIMUM_WAITERS, (perSecond * WAITERS_MILLISECONDS) / 1000);
  }

  private tryTakeOwn(organisation: string, now: number): boolean {
    const { self, rank, tolerance } = this.options;
    const { slack, windowMilliseconds } = tolerance();
    const ranking = rank();
    const allowance = computeOwnAllowance(slack, ranking.indexOf(self), ranking.length);
    if (allowance === 0) {
      return false;
    }
    const known = this.allowances.get(organisation) ?? new OwnAllowance(this.startedAt);
    this.allowances.set(organisation, known);
    return known.tryTake(allowance, windowMilliseconds, now);
  }

  private getTokens(organisation: string): UsageTokens {
    const known = this.tokens.get(organisation) ?? new UsageTokens();
    this.tokens.set(organisation, known);
    return known;
  }

  private send(to: string, message: UsageMessage): void {
    if (to === this.options.self) {
      this.receive(to, message);
    } else {
      this.options.send(to, message);
    }
  }
}
