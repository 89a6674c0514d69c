/**
 * Which daemon keeps the limits for this one, and this daemon's pledge to it. A pledge to another keeper is made only
 * once the former one has released the pledge, has certainly ended, or has let it expire.
 */
import { KEEPER_CANDIDATES, PLEDGE_MILLISECONDS } from './usage-ledger.js';
import type { PledgeContent, PledgePurpose, UsageMessage } from './usage-messages.js';

const RENEW_MILLISECONDS = 450;
const RELEASE_MILLISECONDS = 200;
const PROBE_MILLISECONDS = 1000;
/** The same for a keeper that still counts the pledge. */
const KEEPER_PROBE_MILLISECONDS = 100;
/** A keeper with a larger share is left for a preferred one only when the parts that are moved have rested. */
const MAJOR_SHARE = 0.6;
/** A keeper that has not responded for this time is passed over. */
const SILENT_MILLISECONDS = 200;
/** Longest time that a message is on its way. */
const TRANSIT_MILLISECONDS = 200;
/** Time after which a pledge is no longer counted by its receiver. */
const FORCE_MILLISECONDS = PLEDGE_MILLISECONDS + TRANSIT_MILLISECONDS;

/** Options of `KeeperChoice`. */
export interface KeeperChoiceOptions {
  readonly self: string;
  readonly rank: () => readonly string[];
  readonly startedAt: number;
  readonly windowMilliseconds: () => number;
  /** Whether this daemon counts pledges itself. */
  readonly isKeeping: () => boolean;
  /** Calls back if a daemon's process has certainly ended. */
  readonly checkEnded: (name: string, onEnded: () => void) => void;
  readonly send: (to: string, message: UsageMessage) => void;
  readonly now: () => number;
}

/** Follows which candidates respond. */
export class KeeperChoice {
  /** Whether this daemon is about to stop, so that it keeps nothing for others. */
  isStopping = false;

  /** Whether a candidate that comes later kept limits when this process started, so that this daemon waits. */
  private foundKeeper = false;

  private hasProbed = false;

  /** Share of the keeper at its last response. */
  private keeperShare = 0;

  /** The daemon that may count this one's pledge. */
  private pledgedTo: string | undefined;

  private pledgedAt = -Infinity;

  /** Time at which the pledge was moved last. */
  private movedAt: number;

  private lastKeeper: string | undefined;

  /** Whether this daemon's part had rested when it was moved last. */
  private wasRested = false;

  /** Candidates that did not respond, with the time of the last probe. */
  private readonly silent = new Map<string, number>();

  /** Time of the first message that the target has not answered. */
  private unansweredSince: number | undefined;

  private unansweredBy: string | undefined;

  private releasedAt = -Infinity;

  /** Sequence number of the message that took the pledge back last. */
  private releaseSequence = 0;

  private lastSequence = 0;

  constructor(private readonly options: KeeperChoiceOptions) {
    this.movedAt = options.startedAt;
  }

  /** The daemon to borrow from: the one that has the pledge while it responds. */
  get target(): string {
    return this.pledgedTo !== undefined && this.isInForce() && !this.silent.has(this.pledgedTo)
      ? this.pledgedTo
      : this.choose();
  }

  /** Returns whom to ask for tokens, and the pledge to send along. */
  beginRequest(): { readonly target: string; readonly pledge: PledgeContent | undefined } {
    const { target } = this;
    const pledge = this.pledgeTo(target);
    this.expectResponse(target);
    return { target, pledge };
  }

  /** Whether this daemon keeps limits for others. */
  get isAvailable(): boolean {
    return !this.isStopping && !(this.foundKeeper && !this.isRested(this.options.startedAt));
  }

  /** Records that a daemon responded. */
  confirm(from: string, share: number): void {
    if (from === this.pledgedTo) {
      this.keeperShare = share;
    }
    if (this.unansweredBy === from) {
      this.unansweredSince = undefined;
    }
    this.silent.delete(from);
  }

  /** Processes the response to a message about a pledge. */
  receive(from: string, message: Extract<UsageMessage, { kind: 'pledged' }>): void {
    const { self, now, startedAt, rank } = this.options;
    this.confirm(from, message.share);
    const isPreferred = rank().indexOf(self) < rank().indexOf(from);
    this.foundKeeper ||= isPreferred && message.keeping && now() - startedAt < FORCE_MILLISECONDS;
    if (message.declined) {
      this.silent.set(from, now());
    }
    const isReleased = message.declined || message.purpose === 'release';
    if (from === this.pledgedTo && isReleased && message.sequence >= this.releaseSequence) {
      this.pledgedTo = undefined;
      this.renew(now());
    }
  }

  /** Renews or moves the pledge, and probes candidates that did not respond. */
  tick(): void {
    const now = this.options.now();
    if (this.unansweredSince !== undefined && now - this.unansweredSince > SILENT_MILLISECONDS) {
      this.passOver(this.unansweredBy as string, now);
    }
    this.renew(now);
    const candidates = this.options.rank().slice(0, KEEPER_CANDIDATES);
    if (!this.hasProbed && candidates.length > 0) {
      this.hasProbed = true;
      this.probeAll(candidates);
    }
    const choice = this.choose();
    for (const name of candidates) {
      const probedAt = this.silent.get(name);
      if (name === choice) {
        return;
      }
      const isKeeper = name === this.pledgedTo && this.isInForce();
      const interval = isKeeper ? KEEPER_PROBE_MILLISECONDS : PROBE_MILLISECONDS;
      if (probedAt !== undefined && now - probedAt >= interval) {
        this.silent.set(name, now);
        this.sendPledge(name, 'probe', undefined);
      }
    }
  }

  /** Asks the other candidates at the start, if this daemon is one, whether they keep limits. */
  private probeAll(candidates: readonly string[]): void {
    const { self } = this.options;
    for (const name of candidates.includes(self) ? candidates : []) {
      if (name !== self) {
        this.sendPledge(name, 'probe', undefined);
      }
    }
  }

  /** Whether a window has passed since a time, in which parts were moved last. */
  private isRested(since: number): boolean {
    const { now, windowMilliseconds } = this.options;
    return now() - since > windowMilliseconds() + FORCE_MILLISECONDS;
  }

  private choose(): string {
    const { self, rank } = this.options;
    for (const name of rank().slice(0, KEEPER_CANDIDATES)) {
      if (!this.silent.has(name) && (name !== self || this.isAvailable)) {
        return name;
      }
    }
    return self;
  }

  private isInForce(): boolean {
    return this.options.now() - this.pledgedAt <= FORCE_MILLISECONDS;
  }

  private renew(now: number): void {
    const choice = this.choose();
    const former = this.pledgedTo;
    if (former !== undefined && former !== choice && this.isInForce()) {
      this.release(former, now);
      return;
    }
    if (former !== choice || now - this.pledgedAt > RENEW_MILLISECONDS) {
      const pledge = this.pledgeTo(choice);
      this.expectResponse(choice);
      this.sendPledge(choice, 'renew', pledge);
    }
  }

  /** Takes the pledge back, unless the keeper has most of the limits and the move would begin with empty buckets. */
  private release(keeper: string, now: number): void {
    if (this.silent.has(keeper)) {
      return;
    }
    if (this.keeperShare > MAJOR_SHARE && !this.isRested(this.movedAt)) {
      if (now - this.pledgedAt > RENEW_MILLISECONDS) {
        this.sendPledge(keeper, 'renew', this.pledgeTo(keeper));
      }
      return;
    }
    if (now - this.releasedAt > RELEASE_MILLISECONDS) {
      this.releasedAt = now;
      this.releaseSequence = this.lastSequence + 1;
      this.sendPledge(keeper, 'release', undefined);
    }
  }

  /** Returns the pledge to send to a daemon; undefined while another one may count it. */
  private pledgeTo(name: string): PledgeContent | undefined {
    const { self, startedAt, isKeeping, now } = this.options;
    const isOther = this.pledgedTo !== name;
    const isFree = this.pledgedTo === undefined || !this.isInForce();
    if (isOther && !(isFree && name === this.choose())) {
      return undefined;
    }
    if (!isOther && now() - this.releasedAt < RELEASE_MILLISECONDS) {
      return undefined;
    }
    if (name !== this.lastKeeper) {
      this.wasRested = this.isRested(this.movedAt);
      this.movedAt = now();
      this.lastKeeper = name;
    }
    this.pledgedTo = name;
    this.pledgedAt = now();
    const certain = now() - startedAt > FORCE_MILLISECONDS;
    const isMoving = now() - this.movedAt < FORCE_MILLISECONDS;
    return {
      certain,
      keeping: name !== self && isKeeping(),
      rested: this.wasRested && isMoving,
    };
  }

  private expectResponse(name: string): void {
    if (this.unansweredBy !== name || this.unansweredSince === undefined) {
      this.unansweredBy = name;
      this.unansweredSince = this.options.now();
    }
  }

  private passOver(name: string, now: number): void {
    this.unansweredSince = undefined;
    this.silent.set(name, now);
    this.options.checkEnded(name, () => {
      if (this.pledgedTo === name && this.silent.has(name)) {
        this.pledgedTo = undefined;
        this.renew(this.options.now());
      }
    });
  }

  private sendPledge(to: string, purpose: PledgePurpose, pledge: PledgeContent | undefined): void {
    this.lastSequence += 1;
    this.options.send(to, { kind: 'pledge', sequence: this.lastSequence, purpose, pledge });
  }
}
