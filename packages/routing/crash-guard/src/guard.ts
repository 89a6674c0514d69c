/**
 * Refuses requests that were in flight when two backend servers were lost.
 */
import * as results from '@dogwoodstall/results';
import { CrashEntries, type CrashEntry } from './entries.js';
import type { Fingerprint } from './fingerprint.js';

/** How an attempt ended, as far as the loss of a server is concerned. */
export type AttemptEnd = 'answered' | 'reset' | 'refused' | 'other';

/** One attempt at a backend server that is in flight. */
export interface GuardedAttempt {
  readonly endpointName: string;
  readonly fingerprint: Fingerprint;
  readonly startedAt: number;
}

/** Options of a crash guard. */
export interface CrashGuardOptions {
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Makes the names of losses unique over dispatchers, such as the daemon's incarnation. */
  readonly origin: string;
  readonly lifetimeMilliseconds?: number;
  readonly entriesPerOrganisation?: number;
}

interface EndpointRecord {
  /** Attempts that ended with a reset within the correlation time. */
  resets: { readonly attempt: GuardedAttempt; readonly at: number }[];
  lostAt: number;
  lossName: string;
}

const DEFAULT_LIFETIME_MILLISECONDS = 600_000;
const DEFAULT_ENTRIES_PER_ORGANISATION = 200;

/** Losses at which a fingerprint must have been in flight before it is refused. */
const LOSSES_FOR_REFUSAL = 2;

/** A crash resets all connections of a server at once; the events arrive within this time. */
const SIMULTANEOUS_RESET_MILLISECONDS = 200;

/** A refused connection so long after a reset shows that the server process is gone. */
const RESET_BEFORE_REFUSAL_MILLISECONDS = 3000;

const RESETS_OF_A_LOSS = 2;

/** Watches the attempts of one dispatcher for lost servers. */
export class CrashGuard {
  private readonly options: CrashGuardOptions;

  private readonly entries: CrashEntries;

  private readonly endpoints = new Map<string, EndpointRecord>();

  private lossCount = 0;

  constructor(options: CrashGuardOptions) {
    this.options = options;
    this.entries = new CrashEntries(
      options.lifetimeMilliseconds ?? DEFAULT_LIFETIME_MILLISECONDS,
      options.entriesPerOrganisation ?? DEFAULT_ENTRIES_PER_ORGANISATION,
    );
  }

  /** Returns whether a request is refused. */
  isCrashing(fingerprint: Fingerprint): boolean {
    return this.entries.countLosses(fingerprint, this.options.now()) >= LOSSES_FOR_REFUSAL;
  }

  /** Throws `CrashingRequest` when a request was in flight at two lost servers. */
  check(fingerprint: Fingerprint): void {
    if (this.isCrashing(fingerprint)) {
      throw new results.FailureError('CrashingRequest');
    }
  }

  /** Registers an attempt that is sent to an endpoint. */
  started(endpointName: string, fingerprint: Fingerprint): GuardedAttempt {
    return { endpointName, fingerprint, startedAt: this.options.now() };
  }

  /** Registers the end of an attempt; returns whether its server counts as lost. */
  finished(attempt: GuardedAttempt, end: AttemptEnd): boolean {
    const record = this.openEndpoint(attempt.endpointName);
    if (end === 'answered') {
      this.clearBefore(record, attempt.startedAt);
    } else if (end === 'reset') {
      this.addReset(record, attempt);
    } else if (end === 'refused' && record.resets.length > 0) {
      this.keepRecentResets(record);
      this.declareLoss(attempt.endpointName, record, record.resets.length > 0);
    }
    return record.lostAt > -Infinity;
  }

  /** Returns the entries for other dispatchers. */
  exportEntries(): CrashEntry[] {
    return this.entries.list(this.options.now());
  }

  /** Takes over entries of other dispatchers; repeated imports change nothing. */
  importEntries(entries: Iterable<CrashEntry>): void {
    const now = this.options.now();
    for (const entry of entries) {
      this.entries.add(entry, entry.losses, now - Math.max(0, entry.ageMilliseconds));
    }
  }

  /** Forgets an endpoint that left the configuration. */
  removeEndpoint(endpointName: string): void {
    this.endpoints.delete(endpointName);
  }

  private addReset(record: EndpointRecord, attempt: GuardedAttempt): void {
    record.resets.push({ attempt, at: this.options.now() });
    this.keepRecentResets(record);
    this.declareLoss(attempt.endpointName, record, record.resets.length >= RESETS_OF_A_LOSS);
  }

  // Only the resets that came together with the latest one were in flight at the same moment.
  private keepRecentResets(record: EndpointRecord): void {
    const latestAt = record.resets.at(-1)?.at ?? -Infinity;
    const expired = this.options.now() - latestAt > RESET_BEFORE_REFUSAL_MILLISECONDS;
    const after = latestAt - SIMULTANEOUS_RESET_MILLISECONDS;
    record.resets = expired ? [] : record.resets.filter((reset) => reset.at >= after);
  }

  // An answer to an attempt that began after a reset proves that the process still runs. Answers
  // that overtook the resets of a crash prove nothing.
  private clearBefore(record: EndpointRecord, startedAt: number): void {
    record.resets = record.resets.filter((reset) => reset.at > startedAt);
    if (record.lostAt <= startedAt) {
      record.lostAt = -Infinity;
    }
  }

  // Late resets of the same crash join the loss that was declared already.
  private declareLoss(endpointName: string, record: EndpointRecord, lost: boolean): void {
    if (!lost && record.lostAt === -Infinity) {
      return;
    }
    if (record.lostAt === -Infinity) {
      this.lossCount += 1;
      record.lostAt = this.options.now();
      record.lossName = `${this.options.origin}/${endpointName}/${this.lossCount}`;
    }
    for (const { attempt } of record.resets) {
      this.entries.add(attempt.fingerprint, [record.lossName], record.lostAt);
    }
    record.resets = [];
  }

  private openEndpoint(endpointName: string): EndpointRecord {
    let record = this.endpoints.get(endpointName);
    if (record === undefined) {
      record = { resets: [], lostAt: -Infinity, lossName: '' };
      this.endpoints.set(endpointName, record);
    }
    return record;
  }
}
