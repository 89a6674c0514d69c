/**
 * The execution records of one incarnation's keys. A record expires with its key, and the total size
 * of the stored responses is limited.
 */
import type { KeyRecord, RecordedResponse, RecordState } from './record.js';

/** A record as it is held in memory. */
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

/** Returns a record in the form that is sent to other daemons. */
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

/** Marks a record as running at a daemon incarnation. */
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

  /** Adds a transferred record; never replaces a final state. */
  merge(record: KeyRecord): void {
    const known = this.records.get(record.id);
    if (known === undefined) {
      this.add(record);
    } else if (known.state === 'running' && record.state !== 'running') {
      this.settle(known, record.state, record.answer);
    }
  }

  /** Sets the final state of a record and resumes the resends that wait for it. */
  settle(
    record: StoredRecord,
    state: RecordState,
    response?: RecordedResponse,
    failure?: unknown,
  ): void {
    const settled = record;
    settled.state = state;
    settled.failure = failure;
    this.storeResponse(settled, response);
    const waiters = [...settled.waiters];
    settled.waiters.clear();
    for (const resume of waiters) {
      resume();
    }
  }

  /** Returns the records whose attempts run at a daemon incarnation. */
  listRunning(runningAt: string): StoredRecord[] {
    const found: StoredRecord[] = [];
    for (const record of this.records.values()) {
      if (record.state === 'running' && record.runningAt === runningAt) {
        found.push(record);
      }
    }
    return found;
  }

  /** Returns all records in the form that is sent to other daemons. */
  toMessages(): KeyRecord[] {
    return [...this.records.values()].map(toMessageRecord);
  }

  /** Drops records whose keys have expired, except running ones. */
  dropExpired(now: number): void {
    // The sweep reads every record, so it runs at most once a second.
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

  private storeResponse(record: StoredRecord, response: RecordedResponse | undefined): void {
    const size = response?.body.length ?? 0;
    if (response === undefined || this.responseBytes.used + size > this.maximumResponseBytes) {
      return;
    }
    this.responseBytes.used += size;
    Object.assign(record, { answer: response });
  }
}
