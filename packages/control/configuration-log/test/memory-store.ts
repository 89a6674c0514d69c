/**
 * An in-memory implementation of the store client's interface, with injected faults.
 */
import { EventEmitter, on } from 'node:events';
import { FailureError } from '@dogwoodstall/results';
import type * as storeClient from '@dogwoodstall/store-client';
import type { Store } from '../src/index.js';

/** The fault to inject into a transaction. */
export type Fault = 'none' | 'lost-request' | 'lost-answer';

/** An in-memory store. */
export class MemoryStore implements Store {
  /** Faults of the next transactions. */
  readonly faults: Fault[] = [];

  /** Called before each transaction, so that another writer can commit first. */
  beforeTransaction: (() => Promise<void>) | undefined;

  readonly entries = new Map<string, storeClient.StoreEntry>();

  private revision = 1;

  private readonly emitter = new EventEmitter();

  async range(range: storeClient.KeyRange): Promise<storeClient.RangeResult> {
    const all = this.select(range);
    const entries = all.slice(0, range.limit ?? all.length);
    return { entries, more: entries.length < all.length, storeRevision: this.revision };
  }

  async transact(
    transaction: storeClient.StoreTransaction,
  ): Promise<storeClient.TransactionResult> {
    await this.beforeTransaction?.();
    const fault = this.faults.shift() ?? 'none';
    if (fault === 'lost-request') {
      throw new FailureError('StoreTimeout');
    }
    const result = this.apply(transaction);
    if (fault === 'lost-answer') {
      throw new FailureError('StoreTimeout');
    }
    return result;
  }

  async *watch(
    range: storeClient.KeyRange,
    startRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<storeClient.WatchResponse, void, undefined> {
    const events = on(this.emitter, 'put', { signal });
    const past = this.select(range).filter((entry) => entry.mod_revision >= startRevision);
    yield this.createWatchResponse(past);
    for await (const [entry] of events as AsyncIterable<[storeClient.StoreEntry]>) {
      yield this.createWatchResponse([entry]);
    }
  }

  private createWatchResponse(
    entries: readonly storeClient.StoreEntry[],
  ): storeClient.WatchResponse {
    return {
      header: { revision: this.revision },
      created: false,
      canceled: false,
      compact_revision: 0,
      events: entries.map((kv) => ({ type: 'PUT', kv })),
    };
  }

  private select(range: storeClient.KeyRange): storeClient.StoreEntry[] {
    return [...this.entries.values()]
      .filter(({ key }) =>
        range.end === undefined ? key === range.key : key >= range.key && key < range.end,
      )
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  private apply(transaction: storeClient.StoreTransaction): storeClient.TransactionResult {
    const succeeded = transaction.compare.every((comparison) => {
      const entry = this.entries.get(comparison.key);
      const actual = comparison.target === 'version' ? entry?.version : entry?.mod_revision;
      return (actual ?? 0) === comparison.equals;
    });
    const operations = succeeded ? transaction.success : (transaction.failure ?? []);
    this.revision += 1;
    const ranges = operations.map((operation) => {
      if (operation.kind === 'put') {
        this.put(operation.key, operation.value);
      } else if (operation.kind === 'delete') {
        this.select(operation).forEach((entry) => this.entries.delete(entry.key));
      }
      return operation.kind === 'range' ? this.select(operation) : [];
    });
    return { succeeded, storeRevision: this.revision, ranges };
  }

  private put(key: string, value: string): void {
    const previous = this.entries.get(key);
    const entry = {
      key,
      value,
      mod_revision: this.revision,
      create_revision: previous?.create_revision ?? this.revision,
      version: (previous?.version ?? 0) + 1,
    };
    this.entries.set(key, entry);
    this.emitter.emit('put', entry);
  }
}
