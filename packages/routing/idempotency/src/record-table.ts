/**
 * The records of one incarnation's keys, bounded by the keys' lifetimes and by a total of answers.
 */
import type { KeyRecord, RecordedResponse, RecordState } from './record.js';

/** A record in memory. */
export interface StoredRecord {
  readonly id: string;
  readonly fingerprint: string;
  readonly expiresAtEpochMilliseconds: number;
  runningAt: string;
  state: RecordState;
  answer: RecordedResponse | undefined;
  /** The error of the last attempt, for resends that waited for it. */
  failure: unknown;
  /** Called when the running attempt ends. */
  readonly waiters: Set<() => void>;
}

/** Returns a record as it crosses processes. */
export function toMessageRecord(record: StoredRecord): KeyRecord {
  const { id, fingerprint, state, runningAt, expiresAtEpochMilliseconds, answer } = record;
  return {
    id,
    fingerprint,
    state,
    runningAt,
    expiresAtEpochMilliseconds,
    ...(answer === undefined ? {} : { answer }),
  };
}

/** Marks a record as running at an incarnation. */
export function markRunning(record: StoredRecord, runningAt: string): void {
  Object.assign(record, { state: 'running', runningAt, failure: undefined });
}

/** The records of one incarnation. */
export class RecordTable {
  private readonly records = new Map<string, StoredRecord>();

  private nextSweepAt = 0;

  constructor(
    private readonly responseBytes: { used: number },
    private readonly maximumResponseBytes: number,
  ) {}

  get size(): number {
    return this.records.size;
  }

  get(id: string): StoredRecord | undefined {
    return this.records.get(id);
  }

  /** Adds a record that does not exist. */
  add(record: KeyRecord): StoredRecord {
    const stored: StoredRecord = {
      ...record,
      answer: undefined,
      failure: undefined,
      waiters: new Set(),
    };
    this.storeResponse(stored, record.answer);
    this.records.set(record.id, stored);
    return stored;
  }

  /** Adds a record of a hand-over; a known final state is never replaced. */
  merge(record: KeyRecord): void {
    const known = this.records.get(record.id);
    if (known === undefined) {
      this.add(record);
    } else if (known.state === 'running' && record.state !== 'running') {
      this.settle(known, record.state, record.answer);
    }
  }

  /** Ends the running attempt of a record and wakes the resends that wait for it. */
  settle(
    record: StoredRecord,
    state: RecordState,
    answer?: RecordedResponse,
    failure?: unknown,
  ): void {
    const ended = record;
    ended.state = state;
    ended.failure = failure;
    this.storeResponse(ended, answer);
    const waiters = [...ended.waiters];
    ended.waiters.clear();
    for (const wake of waiters) {
      wake();
    }
  }

  /** Returns the records that run at an incarnation. */
  listRunning(runningAt: string): StoredRecord[] {
    const found: StoredRecord[] = [];
    for (const record of this.records.values()) {
      if (record.state === 'running' && record.runningAt === runningAt) {
        found.push(record);
      }
    }
    return found;
  }

  /** Returns all records as they cross processes. */
  toMessages(): KeyRecord[] {
    return [...this.records.values()].map(toMessageRecord);
  }

  /** Drops records whose keys have expired; running ones stay until they end. */
  dropExpired(now: number): void {
    // One pass a second at most: the pass reads every record.
    if (now < this.nextSweepAt) {
      return;
    }
    this.nextSweepAt = now + 1000;
    for (const record of this.records.values()) {
      if (record.expiresAtEpochMilliseconds <= now && record.state !== 'running') {
        this.records.delete(record.id);
        this.responseBytes.used -= record.answer?.body.length ?? 0;
      }
    }
  }

  /** Drops all records. */
  clear(): void {
    for (const record of this.records.values()) {
      this.responseBytes.used -= record.answer?.body.length ?? 0;
    }
    this.records.clear();
  }

  private storeResponse(record: StoredRecord, answer: RecordedResponse | undefined): void {
    const size = answer?.body.length ?? 0;
    if (answer === undefined || this.responseBytes.used + size > this.maximumResponseBytes) {
      return;
    }
    this.responseBytes.used += size;
    Object.assign(record, { answer });
  }
}
