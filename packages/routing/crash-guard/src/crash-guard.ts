/**
 * Recognises requests that were in flight when two backend servers were lost, so that they can be
 * refused before they crash a third.
 */
import * as results from '@dogwoodstall/results';
import { CrashEntryStore, type CrashEntry } from './crash-entries.js';
import {
  type AttemptResult,
  EndpointLossDetector,
  type TrackedAttempt,
} from './endpoint-loss-detector.js';
import type { Fingerprint } from './fingerprint.js';

/** Options of a crash guard. */
export interface CrashGuardOptions {
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
  /** Prefix that makes loss identifiers unique across dispatchers, such as the daemon's incarnation. */
  readonly origin: string;
  readonly lifetimeMilliseconds?: number;
  readonly entriesPerOrganisation?: number;
  /** Called when fingerprints have been suspected of a loss, to notify other dispatchers. */
  readonly onSuspectsAdded?: () => void;
}

const DEFAULT_LIFETIME_MILLISECONDS = 600_000;
const DEFAULT_ENTRIES_PER_ORGANISATION = 200;

/** Number of losses at which a fingerprint must have been in flight before it is refused. */
const LOSSES_FOR_REFUSAL = 2;

/** Detects lost servers and crashing requests from the attempts of one daemon. */
export class CrashGuard {
  private readonly options: CrashGuardOptions;

  private readonly entries: CrashEntryStore;

  private readonly detectors = new Map<string, EndpointLossDetector>();

  private lossCount = 0;

  constructor(options: CrashGuardOptions) {
    this.options = options;
    this.entries = new CrashEntryStore(
      options.lifetimeMilliseconds ?? DEFAULT_LIFETIME_MILLISECONDS,
      options.entriesPerOrganisation ?? DEFAULT_ENTRIES_PER_ORGANISATION,
    );
  }

  /** Returns whether a request was in flight at enough lost servers to be refused. */
  isCrashing(fingerprint: Fingerprint): boolean {
    return this.entries.countLosses(fingerprint, this.options.now()) >= LOSSES_FOR_REFUSAL;
  }

  /** Throws `CrashingRequest` when a request was in flight at two lost servers. */
  assertNotCrashing(fingerprint: Fingerprint): void {
    if (this.isCrashing(fingerprint)) {
      throw new results.FailureError('CrashingRequest');
    }
  }

  /** Records an attempt that is sent to an endpoint. */
  startAttempt(endpointName: string, fingerprint: Fingerprint): TrackedAttempt {
    return { endpointName, fingerprint, startedAt: this.options.now() };
  }

  /** Records the result of an attempt; returns whether its server is considered lost. */
  finishAttempt(attempt: TrackedAttempt, result: AttemptResult): boolean {
    const detector = this.getOrCreateDetector(attempt.endpointName);
    const suspects = detector.recordResult(attempt, result, this.options.now());
    for (const suspect of suspects) {
      this.entries.add(suspect.fingerprint, [detector.lossId], detector.lostAt);
    }
    if (suspects.length > 0) {
      this.options.onSuspectsAdded?.();
    }
    return detector.lost;
  }

  /** Returns the entries for other dispatchers. */
  exportEntries(): CrashEntry[] {
    return this.entries.list(this.options.now());
  }

  /** Imports the entries of other dispatchers; repeated imports have no effect. */
  importEntries(entries: Iterable<CrashEntry>): void {
    const now = this.options.now();
    for (const entry of entries) {
      this.entries.add(entry, entry.losses, now - Math.max(0, entry.ageMilliseconds));
    }
  }

  /** Removes the state of an endpoint that was removed from the configuration. */
  removeEndpoint(endpointName: string): void {
    this.detectors.delete(endpointName);
  }

  private getOrCreateDetector(endpointName: string): EndpointLossDetector {
    let detector = this.detectors.get(endpointName);
    if (detector === undefined) {
      detector = new EndpointLossDetector(() => this.createLossId(endpointName));
      this.detectors.set(endpointName, detector);
    }
    return detector;
  }

  private createLossId(endpointName: string): string {
    this.lossCount += 1;
    return `${this.options.origin}/${endpointName}/${this.lossCount}`;
  }
}
