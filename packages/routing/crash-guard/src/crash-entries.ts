/**
 * The fingerprints that were in flight at lost servers, bounded for each organisation.
 */
import type { Fingerprint } from './fingerprint.js';

/** One fingerprint and the losses at which it was in flight, as dispatchers exchange it. */
export interface CrashEntry extends Fingerprint {
  /** Names of the losses, unique over all dispatchers. */
  readonly losses: readonly string[];
  /** Time since the last loss, so that daemons with different clocks can exchange entries. */
  readonly ageMilliseconds: number;
}

interface StoredEntry {
  readonly losses: Set<string>;
  lastLossAt: number;
}

/** Losses that an entry keeps; two are enough for a refusal. */
const MAXIMUM_LOSSES = 4;

/** Organisations with entries; the one with the oldest change is dropped first. */
const MAXIMUM_ORGANISATIONS = 10_000;

/** Stores entries until they expire. */
export class CrashEntries {
  private readonly organisations = new Map<string, Map<string, StoredEntry>>();

  constructor(
    private readonly lifetimeMilliseconds: number,
    private readonly entriesPerOrganisation: number,
  ) {}

  /** Adds losses to a fingerprint. */
  add(fingerprint: Fingerprint, losses: Iterable<string>, lostAt: number): void {
    const entries = this.openOrganisation(fingerprint.organisation);
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

  /** Returns the number of different losses at which a fingerprint was in flight. */
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

  /** Lists the entries that have not expired, and forgets the others. */
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

  private openOrganisation(organisation: string): Map<string, StoredEntry> {
    const entries = this.organisations.get(organisation) ?? new Map<string, StoredEntry>();
    this.organisations.delete(organisation);
    this.organisations.set(organisation, entries);
    if (this.organisations.size > MAXIMUM_ORGANISATIONS) {
      this.organisations.delete(this.organisations.keys().next().value ?? '');
    }
    return entries;
  }
}
