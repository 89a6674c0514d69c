/**
 * The home of idempotency keys: the daemon that stores their execution records and ensures that at
 * most one attempt of each key is run by a backend server.
 */
import { FailureError, type ResultName } from '@dogwoodstall/results';
import type { KeyContents } from './key-issuer.js';
import { AttemptPermit, type ExecutionPermit } from './permit.js';
import { RecordTable, type StoredRecord, markRunning, toMessageRecord } from './record-table.js';
import type {
  ActivateRecords,
  CompleteRecord,
  InstallRecords,
  KeyRecord,
  RecordedResponse,
} from './record.js';

const DEFAULT_MAXIMUM_RECORDS = 100_000;
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 67_108_864;

/** Options of `KeyHome`. */
export interface KeyHomeOptions {
  /** The incarnation of this daemon, as contained in the keys that it issues. */
  readonly incarnation: string;
  /** At this number of records, requests with new keys fail with `KeyRecordsFull`. */
  readonly maximumRecords?: number;
  /** Above this total size, responses are not stored, and resends fail with `AnswerNotKept`. */
  readonly maximumResponseBytes?: number;
  /** Wall clock; `Date.now` by default. */
  readonly epochNow?: () => number;
  /** Receives each record whose attempt ends after `seal`, to be sent to the new home. */
  readonly onCompletedAfterSeal?: (message: CompleteRecord) => void;
}

/** A request that was sent with a key. */
export interface KeyUse {
  readonly key: KeyContents;
  /** Digest of the request; another request with the same key fails with `KeyReused`. */
  readonly fingerprint: string;
  /** Aborts the wait for another attempt's response with `StillRunning`. */
  readonly signal: AbortSignal;
}

/**
 * Sends the request. Calls the permit around each transmission; resolves with the response, or with
 * undefined when the response is too large to be stored; rejects without a complete response.
 */
export type KeyAttempt = (permit: ExecutionPermit) => Promise<RecordedResponse | undefined>;

/** Where the response to a request comes from. */
export type KeyUseResult =
  /** This use ran the request, and its attempt has delivered the response. */
  | { readonly source: 'attempt' }
  /** An earlier use ran the request. */
  | { readonly source: 'record'; readonly answer: RecordedResponse };

interface IncarnationRecords {
  readonly table: RecordTable;
  epoch: number;
  activated: boolean;
}

function createRecordFailure(record: StoredRecord): FailureError {
  const name: ResultName = record.state === 'ran' ? 'AnswerNotKept' : 'OutcomeNotKnown';
  return new FailureError(name);
}

function waitForAttempt(record: StoredRecord, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const abort = (): void => reject(new FailureError('StillRunning'));
    if (signal.aborted) {
      abort();
      return;
    }
    signal.addEventListener('abort', abort, { once: true });
    record.waiters.add(() => {
      signal.removeEventListener('abort', abort);
      resolve();
    });
  });
}

function replay(record: StoredRecord): KeyUseResult {
  if (record.answer !== undefined) {
    return { source: 'record', answer: record.answer };
  }
  if (record.state === 'not-run') {
    throw record.failure instanceof FailureError && record.failure.execution === 'not-run'
      ? record.failure
      : new FailureError(
          'KeyHomeMoving',
          'the attempt that this resend waited for did not run the request',
        );
  }
  throw createRecordFailure(record);
}

/** Stores the records of its own incarnation's keys and of incarnations transferred to it. */
export class KeyHome {
  private readonly incarnations = new Map<string, IncarnationRecords>();

  private readonly epochNow: () => number;

  private latestNow = 0;

  private sealed = false;

  private readonly responseBytes = { used: 0 };

  constructor(private readonly options: KeyHomeOptions) {
    this.epochNow = options.epochNow ?? Date.now;
    this.incarnations.set(options.incarnation, {
      table: this.createTable(),
      epoch: 0,
      activated: true,
    });
  }

  /** Number of records of all incarnations. */
  get recordCount(): number {
    let count = 0;
    for (const { table } of this.incarnations.values()) {
      count += table.size;
    }
    return count;
  }

  /** Incarnations whose keys this home runs or replays. */
  get activeIncarnations(): string[] {
    const names: string[] = [];
    for (const [name, incarnation] of this.incarnations) {
      if (incarnation.activated) {
        names.push(name);
      }
    }
    return names;
  }

  /**
   * Runs the request, waits for the attempt that runs it, or replays the recorded response.
   *
   * Throws the attempt's own failure, `KeyExpired`, `KeyReused`, `KeyHomeLost`, `KeyHomeMoving`,
   * `KeyRecordsFull`, `OutcomeNotKnown`, `AnswerNotKept` or `StillRunning`.
   */
  async run(use: KeyUse, attempt: KeyAttempt): Promise<KeyUseResult> {
    const { key } = use;
    const now = this.now();
    if (now >= key.expiresAtEpochMilliseconds) {
      throw new FailureError('KeyExpired');
    }
    const { table } = this.requireActiveIncarnation(key.incarnation);
    const record = table.get(key.id);
    if (record === undefined) {
      return this.runFirst(use, table, attempt);
    }
    if (record.fingerprint !== use.fingerprint) {
      throw new FailureError('KeyReused');
    }
    if (record.state === 'running') {
      await waitForAttempt(record, use.signal);
      return replay(record);
    }
    if (record.state !== 'not-run') {
      return replay(record);
    }
    return this.runRecord(record, table, key, attempt);
  }

  /** Stops running requests; running attempts continue, and recorded responses are replayed. */
  seal(): void {
    this.sealed = true;
  }

  /** Returns the records of every active incarnation with its next epoch; requires `seal`. */
  exportRecords(): InstallRecords[] {
    if (!this.sealed) {
      throw new FailureError(
        'HandoverStale',
        'records can be exported only after the home is sealed',
      );
    }
    const exports: InstallRecords[] = [];
    for (const [origin, { table, epoch, activated }] of this.incarnations) {
      if (activated) {
        table.dropExpired(this.now());
        exports.push({ origin, epoch: epoch + 1, records: table.toMessages() });
      }
    }
    return exports;
  }

  /** Stores records of another incarnation, which stay inactive until `activateRecords`. */
  installRecords(message: InstallRecords): void {
    this.assertNotSealed();
    const known = this.incarnations.get(message.origin);
    if (known !== undefined && (known.activated || known.epoch > message.epoch)) {
      return;
    }
    let incarnation = known;
    if (incarnation === undefined || incarnation.epoch < message.epoch) {
      incarnation?.table.clear();
      incarnation = { table: this.createTable(), epoch: message.epoch, activated: false };
      this.incarnations.set(message.origin, incarnation);
    }
    for (const record of message.records) {
      incarnation.table.merge(record);
    }
  }

  /**
   * Makes this daemon the home of the installed records. Throws `HandoverStale` unless all of them
   * have been installed. Idempotent.
   */
  activateRecords(message: ActivateRecords): void {
    const incarnation = this.incarnations.get(message.origin);
    if (incarnation?.activated === true && incarnation.epoch >= message.epoch) {
      return;
    }
    this.assertNotSealed();
    if (incarnation?.epoch !== message.epoch || incarnation.table.size < message.recordCount) {
      if (incarnation !== undefined || message.recordCount > 0) {
        throw new FailureError('HandoverStale', 'not all records are installed');
      }
      this.installRecords({ ...message, records: [] });
    }
    (this.incarnations.get(message.origin) as IncarnationRecords).activated = true;
  }

  /** Applies the final state of a record that was transferred as running. */
  completeRecord(message: CompleteRecord): void {
    const incarnation = this.incarnations.get(message.origin);
    if (incarnation === undefined || message.record.state === 'running') {
      throw new FailureError('HandoverStale', 'the record is running or of an unknown incarnation');
    }
    const record = incarnation.table.get(message.record.id);
    if (record === undefined && !incarnation.activated) {
      incarnation.table.add(message.record);
    }
    if (record?.runningAt !== message.record.runningAt || record.state !== 'running') {
      return;
    }
    this.settle(incarnation.table, record, message.record);
  }

  /** Sets records that were running at a lost daemon incarnation to `not-known`. */
  markOriginLost(runningAt: string): void {
    if (runningAt === this.options.incarnation) {
      return;
    }
    for (const { table } of this.incarnations.values()) {
      for (const record of table.listRunning(runningAt)) {
        this.settle(table, record, { state: 'not-known' });
      }
    }
  }

  private now(): number {
    // A clock that is set back must not revive expired keys whose records have been dropped.
    this.latestNow = Math.max(this.latestNow, this.epochNow());
    return this.latestNow;
  }

  private createTable(): RecordTable {
    return new RecordTable(
      this.responseBytes,
      this.options.maximumResponseBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES,
    );
  }

  private assertNotSealed(): void {
    if (this.sealed) {
      throw new FailureError('KeyHomeMoving');
    }
  }

  private requireActiveIncarnation(name: string): IncarnationRecords {
    const incarnation = this.incarnations.get(name);
    if (incarnation === undefined) {
      throw new FailureError('KeyHomeLost');
    }
    if (!incarnation.activated) {
      throw new FailureError('KeyHomeMoving');
    }
    return incarnation;
  }

  private ensureCapacity(): void {
    const limit = this.options.maximumRecords ?? DEFAULT_MAXIMUM_RECORDS;
    for (const { table, activated } of this.incarnations.values()) {
      // Activation compares the number of installed records, so none may be dropped before it.
      if (activated) {
        table.dropExpired(this.now());
      }
    }
    if (this.recordCount >= limit) {
      throw new FailureError('KeyRecordsFull');
    }
  }

  private runFirst(use: KeyUse, table: RecordTable, attempt: KeyAttempt): Promise<KeyUseResult> {
    this.assertNotSealed();
    this.ensureCapacity();
    const record = table.add({
      id: use.key.id,
      fingerprint: use.fingerprint,
      state: 'not-run',
      runningAt: this.options.incarnation,
      expiresAtEpochMilliseconds: use.key.expiresAtEpochMilliseconds,
    });
    return this.runRecord(record, table, use.key, attempt);
  }

  private async runRecord(
    record: StoredRecord,
    table: RecordTable,
    key: KeyContents,
    attempt: KeyAttempt,
  ): Promise<KeyUseResult> {
    this.assertNotSealed();
    const permit = new AttemptPermit(key.id);
    markRunning(record, this.options.incarnation);
    try {
      const response = await attempt(permit);
      permit.close();
      this.settle(table, record, { state: 'ran', answer: response });
      return { source: 'attempt' };
    } catch (error) {
      permit.close();
      const state = permit.mayHaveRun ? 'not-known' : 'not-run';
      this.settle(table, record, { state }, error);
      throw error;
    }
  }

  private settle(
    table: RecordTable,
    record: StoredRecord,
    outcome: Pick<KeyRecord, 'state' | 'answer'>,
    error?: unknown,
  ): void {
    table.settle(record, outcome.state, outcome.answer, error);
    if (!this.sealed) {
      return;
    }
    for (const [origin, incarnation] of this.incarnations) {
      if (incarnation.table === table) {
        const message = { origin, epoch: incarnation.epoch + 1, record: toMessageRecord(record) };
        this.options.onCompletedAfterSeal?.(message);
      }
    }
  }
}
