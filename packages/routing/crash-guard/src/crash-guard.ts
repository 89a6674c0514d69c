/**
 * Refuses requests that were in flight when two backend servers were lost.
 */
import * as results from '@dogwoodstall/results';
import { CrashEntries, type CrashEntry } from './crash-entries.js';
import { type AttemptEnd, EndpointLosses, type GuardedAttempt } from './endpoint-loss-detector.js';
import type { Fingerprint } from './fingerprint.js';

/** Options of a crash guard. */
export interface CrashGuardOptions {
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Makes the names of losses unique over dispatchers, such as the daemon's incarnation. */
  readonly origin: string;
  readonly lifetimeMilliseconds?: number;
  readonly entriesPerOrganisation?: number;
  /** Called when fingerprints were suspected of a loss, so that other dispatchers can be told. */
  readonly onSuspicion?: () => void;
}

const DEFAULT_LIFETIME_MILLISECONDS = 600_000;
const DEFAULT_ENTRIES_PER_ORGANISATION = 200;

/** Losses at which a fingerprint must have been in flight before it is refused. */
const LOSSES_FOR_REFUSAL = 2;

/** Watches the attempts of one dispatcher for lost servers. */
export class CrashGuard {
  private readonly options: CrashGuardOptions;

  private readonly entries: CrashEntries;

  private readonly endpoints = new Map<string, EndpointLosses>();

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
    const losses = this.openEndpoint(attempt.endpointName);
    const suspects = losses.addEnd(attempt, end, this.options.now());
    for (const suspect of suspects) {
      this.entries.add(suspect.fingerprint, [losses.lossName], losses.lostAt);
    }
    if (suspects.length > 0) {
      this.options.onSuspicion?.();
    }
    return losses.lost;
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

  private openEndpoint(endpointName: string): EndpointLosses {
    let losses = this.endpoints.get(endpointName);
    if (losses === undefined) {
      losses = new EndpointLosses(() => this.nameLoss(endpointName));
      this.endpoints.set(endpointName, losses);
    }
    return losses;
  }

  private nameLoss(endpointName: string): string {
    this.lossCount += 1;
    return `${this.options.origin}/${endpointName}/${this.lossCount}`;
  }
}
