/**
 * The sending side of a transfer of idempotency records at a graceful shutdown: the records are
 * installed at one peer and then activated there. Once an activation has been sent, no other peer is
 * tried, because after a lost acknowledgement two peers would be homes of the same keys.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { KeyHome } from './key-home.js';
import type { ActivateRecords, CompleteRecord, InstallRecords, KeyRecord } from './record.js';

const MAXIMUM_BATCH_RECORDS = 500;
const MAXIMUM_BATCH_CHARACTERS = 1_000_000;
const DEFAULT_ATTEMPTS = 5;
const DEFAULT_RETRY_MILLISECONDS = 200;

/** A peer that may become the new home; each call rejects unless the peer acknowledges it. */
export interface RecordTransferPeer {
  readonly name: string;
  install(message: InstallRecords): Promise<void>;
  activate(message: ActivateRecords): Promise<void>;
  complete(message: CompleteRecord): Promise<void>;
}

/** Options of `RecordTransfer`. */
export interface RecordTransferOptions {
  readonly home: KeyHome;
  /** Live peers in order of preference. */
  readonly peers: readonly RecordTransferPeer[];
  /** Announces the new home of the keys of these incarnations. */
  readonly announce: (peer: string, incarnations: readonly string[]) => void;
  /** Maximum number of calls per message; 5 by default. */
  readonly attempts?: number;
  /** Delay between two calls; 200 by default. */
  readonly retryMilliseconds?: number;
}

/** Outcome of a transfer. */
export interface RecordTransferResult {
  /** The new home; undefined when no peer installed the records. */
  readonly peer: string | undefined;
  /** False when the peer did not acknowledge the activation; it may be the home nevertheless. */
  readonly acknowledged: boolean;
}

function splitRecords(records: readonly KeyRecord[]): KeyRecord[][] {
  const batches: KeyRecord[][] = [[]];
  let characters = 0;
  for (const record of records) {
    const size = record.answer?.body.length ?? 0;
    let batch = batches[batches.length - 1];
    const full = characters + size > MAXIMUM_BATCH_CHARACTERS && characters > 0;
    if (batch === undefined || batch.length >= MAXIMUM_BATCH_RECORDS || full) {
      batch = [];
      batches.push(batch);
      characters = 0;
    }
    batch.push(record);
    characters += size;
  }
  return batches;
}

/** Transfers all records of a home to one peer. */
export class RecordTransfer {
  private successor: RecordTransferPeer | undefined;

  private readonly queued: CompleteRecord[] = [];

  private readonly sending = new Set<Promise<void>>();

  constructor(private readonly options: RecordTransferOptions) {}

  /** Seals the home and transfers its records. Never rejects because of an unreachable peer. */
  async run(): Promise<RecordTransferResult> {
    this.options.home.seal();
    const exports = this.options.home.exportRecords();
    const peer = await this.installAtOne(exports);
    if (peer === undefined) {
      return { peer: undefined, acknowledged: false };
    }
    const acknowledged = await this.activateAll(peer, exports);
    this.options.announce(
      peer.name,
      exports.map(({ origin }) => origin),
    );
    this.successor = peer;
    for (const message of this.queued.splice(0)) {
      this.complete(message);
    }
    return { peer: peer.name, acknowledged };
  }

  /** Sends the final state of a record transferred as running; see `onCompletedAfterSeal`. */
  complete(message: CompleteRecord): void {
    const { successor } = this;
    if (successor === undefined) {
      this.queued.push(message);
      return;
    }
    const sent = this.callWithRetries(() => successor.complete(message)).then(() => {
      this.sending.delete(sent);
    });
    this.sending.add(sent);
  }

  /** Resolves when every completion so far has been acknowledged or abandoned. */
  async waitForCompletions(): Promise<void> {
    while (this.sending.size > 0) {
      await Promise.all(this.sending);
    }
  }

  private async installAtOne(
    exports: readonly InstallRecords[],
  ): Promise<RecordTransferPeer | undefined> {
    for (const peer of this.options.peers) {
      if (await this.installAll(peer, exports)) {
        return peer;
      }
    }
    return undefined;
  }

  private async installAll(
    peer: RecordTransferPeer,
    exports: readonly InstallRecords[],
  ): Promise<boolean> {
    for (const { origin, epoch, records } of exports) {
      for (const batch of splitRecords(records)) {
        if (!(await this.callWithRetries(() => peer.install({ origin, epoch, records: batch })))) {
          return false;
        }
      }
    }
    return true;
  }

  private async activateAll(
    peer: RecordTransferPeer,
    exports: readonly InstallRecords[],
  ): Promise<boolean> {
    let acknowledged = true;
    for (const { origin, epoch, records } of exports) {
      const message = { origin, epoch, recordCount: records.length };
      acknowledged = (await this.callWithRetries(() => peer.activate(message))) && acknowledged;
    }
    return acknowledged;
  }

  private async callWithRetries(call: () => Promise<void>): Promise<boolean> {
    const attempts = this.options.attempts ?? DEFAULT_ATTEMPTS;
    for (let attempt = 1; attempt <= attempts; attempt += 1) {
      try {
        await call();
        return true;
      } catch {
        // Every message is idempotent, so each failed call may be repeated.
        await delay(this.options.retryMilliseconds ?? DEFAULT_RETRY_MILLISECONDS);
      }
    }
    return false;
  }
}
