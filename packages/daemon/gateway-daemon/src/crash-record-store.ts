/**
 * Keeps the records of requests that crash endpoints in the platform's store, so that they outlive a restart of all
 * daemons at once. One entry holds those of the fleet and is replaced under a condition on its revision.
 *
 * A record is saved when one more crash would refuse the request, and again when it is refused, by the daemons that
 * collect its evidence: each waits longer than the one before, and finds then that there is nothing left to write.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as grants from '@dogwoodstall/grants';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type { DirectorySource, StoredCrashRecord } from './directory-source.js';
import type { StorePosition } from './store-position.js';

/** Sum of the weights of the evidence from which a record is saved: one reset less than a refusal takes. */
const WEIGHT_TO_SAVE = grants.WEIGHT_TO_REFUSE - 1;
/** Retention time of a stored record after its last crash. */
const STORED_MILLISECONDS = 600_000;
/** The newest are kept; they are a few kilobytes in the store. */
const MAXIMUM_STORED = 64;
/** Additional wait of each daemon that collects the same evidence. */
const SAVE_STEP_MILLISECONDS = 400;
const CALL_TIMEOUT_MILLISECONDS = 500;
const RETRY_MILLISECONDS = 1000;
/** Fingerprints of which this daemon knows what the store holds; the oldest is evicted first. */
const MAXIMUM_SAVED = 4096;

/** Options of `CrashRecordStore`. */
export interface CrashRecordStoreOptions {
  readonly source: Pick<DirectorySource, 'readCrashRecords' | 'writeCrashRecords'>;
  /** Called with the records that the store holds when this daemon starts to read it. */
  readonly onLoaded: (records: readonly grants.CrashRecord[]) => void;
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
  /** Returns milliseconds of the time of day, to which stored times refer. */
  readonly wallClock: () => number;
  readonly logger: observability.ComponentLogger;
}

function computeLatestCrash({ evidence }: StoredCrashRecord): number {
  return Math.max(...evidence.map(({ crashedAt }) => crashedAt));
}

/** Saves and loads the records of one daemon. */
export class CrashRecordStore {
  private readonly closing = new AbortController();

  /** Records to be saved, by fingerprint. */
  private readonly pending = new Map<string, grants.CrashRecord>();

  /** What the store holds, by fingerprint, as far as this daemon knows. */
  private readonly saved = new Map<string, grants.CrashRecord>();

  private saving = false;

  private loading = false;

  constructor(private readonly options: CrashRecordStoreOptions) {}

  close(): void {
    this.closing.abort();
  }

  /** Reads the stored records; only the first call has an effect. */
  load(): void {
    if (!this.loading) {
      this.loading = true;
      this.repeatUntilDone('loading crash records failed', () => this.loadOnce());
    }
  }

  /** Saves a record if it has enough evidence, or removes it from the store after a success of the request. */
  update(record: grants.CrashRecord, position: number): void {
    const { fingerprint, evidence } = record;
    const isWorthSaving = grants.computeCrashWeight(record) >= WEIGHT_TO_SAVE;
    const savedEvidence = this.saved.get(fingerprint)?.evidence.length ?? 0;
    const isNewer = isWorthSaving && evidence.length > savedEvidence;
    const isCleared = evidence.length === 0 && savedEvidence > 0;
    if (!isNewer && !isCleared) {
      return;
    }
    this.pending.set(fingerprint, record);
    setTimeout(() => this.save(), position * SAVE_STEP_MILLISECONDS).unref();
  }

  /** Saves again what was saved or removed before, because the store may have lost it; records saved since are kept. */
  saveAgain(): void {
    const oldest = this.options.now() - STORED_MILLISECONDS;
    for (const [fingerprint, record] of this.saved) {
      const isCurrent =
        record.evidence.length === 0 || record.evidence.some(({ at }) => at > oldest);
      if (isCurrent && !this.pending.has(fingerprint)) {
        this.pending.set(fingerprint, record);
      }
    }
    this.save();
  }

  private save(): void {
    if (!this.saving && this.pending.size > 0) {
      this.saving = true;
      this.repeatUntilDone('saving crash records failed', async () => {
        await this.saveOnce();
        this.saving = false;
      });
    }
  }

  private repeatUntilDone(failure: string, attempt: () => Promise<void>): void {
    const run = async (): Promise<void> => {
      while (!this.closing.signal.aborted) {
        try {
          await attempt();
          return;
        } catch (error) {
          const { kind, message } = results.toFailure(error);
          if (!this.closing.signal.aborted) {
            this.options.logger.warn(failure, { result: kind, reason: message });
            await delay(RETRY_MILLISECONDS, undefined, { ref: false });
          }
        }
      }
    };
    run().catch((error: unknown) => {
      this.options.logger.error(failure, { reason: String(error) });
    });
  }

  private callWithTimeout<Value>(send: (signal: AbortSignal) => Promise<Value>): Promise<Value> {
    return results.callWithTimeout(CALL_TIMEOUT_MILLISECONDS, this.closing.signal, send);
  }

  private async loadOnce(): Promise<void> {
    const { records } = await this.callWithTimeout((signal) =>
      this.options.source.readCrashRecords(signal),
    );
    const current = this.selectCurrent(records).map((record) => this.decode(record));
    for (const record of current) {
      this.setSaved(record);
    }
    this.options.onLoaded(current);
  }

  private async saveOnce(): Promise<void> {
    const { source } = this.options;
    while (this.pending.size > 0) {
      const batch = [...this.pending];
      const stored = await this.callWithTimeout((signal) => source.readCrashRecords(signal));
      const { records, hasChanged } = this.merge(stored.records, batch);
      if (hasChanged && !(await this.replace(records, stored))) {
        continue;
      }
      for (const [fingerprint, record] of batch) {
        this.setSaved(record);
        if (this.pending.get(fingerprint) === record) {
          this.pending.delete(fingerprint);
        }
      }
    }
  }

  /** Returns false if the records of the given position may have been replaced before. */
  private async replace(
    records: readonly StoredCrashRecord[],
    expected: StorePosition,
  ): Promise<boolean> {
    try {
      await this.callWithTimeout((signal) =>
        this.options.source.writeCrashRecords(records, expected, signal),
      );
      return true;
    } catch (error) {
      if (results.isFailure(error, 'StoreConditionFailed')) {
        return false;
      }
      throw error;
    }
  }

  private merge(
    stored: readonly StoredCrashRecord[],
    batch: readonly (readonly [string, grants.CrashRecord])[],
  ): { readonly records: StoredCrashRecord[]; readonly hasChanged: boolean } {
    const byFingerprint = new Map(
      this.selectCurrent(stored).map((record) => [record.fingerprint, record]),
    );
    let hasChanged = false;
    for (const [fingerprint, record] of batch) {
      const known = byFingerprint.get(fingerprint);
      const merged =
        known === undefined ? record : grants.mergeCrashRecords(record, this.decode(known));
      byFingerprint.delete(fingerprint);
      if (merged.evidence.length > 0) {
        byFingerprint.set(fingerprint, this.encode(merged));
      }
      hasChanged ||= merged.evidence.length !== (known?.evidence.length ?? 0);
    }
    return { records: this.selectCurrent([...byFingerprint.values()]), hasChanged };
  }

  /** Returns the records that are still valid, those that crashed last first. */
  private selectCurrent(records: readonly StoredCrashRecord[]): StoredCrashRecord[] {
    const oldest = this.options.wallClock() - STORED_MILLISECONDS;
    return records
      .filter((record) => computeLatestCrash(record) > oldest)
      .sort((left, right) => computeLatestCrash(right) - computeLatestCrash(left))
      .slice(0, MAXIMUM_STORED);
  }

  private encode({ fingerprint, evidence }: grants.CrashRecord): StoredCrashRecord {
    const offset = this.options.wallClock() - this.options.now();
    return {
      fingerprint,
      evidence: evidence.map(({ at, ...rest }) => ({
        ...rest,
        crashedAt: Math.round(at + offset),
      })),
    };
  }

  // Counts as just seen, because refusals since the last crash are not stored.
  private decode({ fingerprint, evidence }: StoredCrashRecord): grants.CrashRecord {
    const now = this.options.now();
    const offset = this.options.wallClock() - now;
    return {
      fingerprint,
      clearedAt: -Infinity,
      lastAt: now,
      evidence: evidence.map(({ crashedAt, ...rest }) => ({
        ...rest,
        at: Math.min(now, crashedAt - offset),
      })),
    };
  }

  private setSaved(record: grants.CrashRecord): void {
    this.saved.delete(record.fingerprint);
    this.saved.set(record.fingerprint, record);
    if (this.saved.size > MAXIMUM_SAVED) {
      this.saved.delete(this.saved.keys().next().value as string);
    }
  }
}
