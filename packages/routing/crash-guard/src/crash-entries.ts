/**
 * Stores the fingerprints of requests that were in flight at lost servers, with a limit for each
 * organisation.
 */
import type { Fingerprint } from './fingerprint.js';

/** A fingerprint and the losses at which it was in flight, in the form that dispatchers exchange. */
export interface CrashEntry extends Fingerprint {
  /** Identifiers of the losses, unique across all dispatchers. */
  readonly losses: readonly string[];
  /** Time since the last loss; a relative time, because the clocks of daemons differ. */
  readonly ageMilliseconds: number;
}

interface StoredEntry {
  readonly losses: Set<string>;
  lastLossAt: number;
}

/** Maximum number of losses stored for a fingerprint; two are enough for a refusal. */
const MAXIMUM_LOSSES = 4;

/** Maximum number of organisations with entries; the least recently updated one is evicted first. */
const MAXIMUM_ORGANISATIONS = 10_000;

/** Stores entries until they expire or are evicted. */
export class CrashEntryStore {
  private readonly organisations = new Map<string, Map<string, StoredEntry>>();

  constructor(
    private readonly lifetimeMilliseconds: number,
    private readonly entriesPerOrganisation: number,
  ) {}

  /** Adds losses to a fingerprint; evicts the organisation's least recently updated entry if full. */
  add(fingerprint: Fingerprint, losses: Iterable<string>, lostAt: number): void {
    const entries = this.getOrCreateEntries(fingerprint.organisation);
    const stored = entries.get(fingerprint.digest) ?? { losses: new Set(), lastLossAt: lostAt };
    for (const loss of losses) {
      if (stored.losses.size < MAXIMUM_LOSSES) {
        stored.losses.add(loss);
      }
    }
    stored.lastLossAt = Math.max(stored.lastLossAt, lostAt);
    entries.delete(fingerprint.digest);
    entries.set(fingerprint.digest, stored);
    if (entries.size > this.entriesPerOrganisation) {
      entries.delete(entries.keys().next().value ?? '');
    }
  }

  /** Returns the number of distinct losses at which a fingerprint was in flight. */
  countLosses(fingerprint: Fingerprint, now: number): number {
    const entries = this.organisations.get(fingerprint.organisation);
    const stored = entries?.get(fingerprint.digest);
    if (stored === undefined) {
      return 0;
    }
    if (now - stored.lastLossAt >= this.lifetimeMilliseconds) {
      entries?.delete(fingerprint.digest);
      return 0;
    }
    return stored.losses.size;
  }

  /** Returns the entries that have not expired, and deletes the others. */
  list(now: number): CrashEntry[] {
    const list: CrashEntry[] = [];
    for (const [organisation, entries] of this.organisations) {
      for (const [digest, stored] of entries) {
        const ageMilliseconds = now - stored.lastLossAt;
        if (ageMilliseconds >= this.lifetimeMilliseconds) {
          entries.delete(digest);
        } else {
          list.push({ organisation, digest, losses: [...stored.losses], ageMilliseconds });
        }
      }
      if (entries.size === 0) {
        this.organisations.delete(organisation);
      }
    }
    return list;
  }

  private getOrCreateEntries(organisation: string): Map<string, StoredEntry> {
    const entries = this.organisations.get(organisation) ?? new Map<string, StoredEntry>();
    this.organisations.delete(organisation);
    this.organisations.set(organisation, entries);
    if (this.organisations.size > MAXIMUM_ORGANISATIONS) {
      this.organisations.delete(this.organisations.keys().next().value ?? '');
    }
    return entries;
  }
}
