/**
 * A fake of the key-value service for tests: the gateway subset in memory, with injected faults.
 */
import { once } from 'node:events';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

interface Entry {
  key: string;
  value: string;
  version: number;
  create_revision: number;
  mod_revision: number;
}

interface StoreEvent {
  readonly type: 'PUT' | 'DELETE';
  readonly kv: Entry;
}

interface RangeBody {
  key: string;
  range_end?: string;
  limit?: string;
}

interface OperationBody {
  request_put?: { key: string; value: string };
  request_delete_range?: RangeBody;
  request_range?: RangeBody;
}

interface ComparisonBody {
  target: 'VERSION' | 'MOD' | 'CREATE';
  key: string;
  version?: string;
  mod_revision?: string;
  create_revision?: string;
}

interface TransactionBody {
  compare: ComparisonBody[];
  success: OperationBody[];
  failure: OperationBody[];
}

interface Watcher {
  readonly range: RangeBody;
  readonly answer: http.ServerResponse;
}

const decode = (text: string): string => Buffer.from(text, 'base64').toString('latin1');

function contains(range: RangeBody, key: string): boolean {
  const start = decode(range.key);
  const name = decode(key);
  return range.range_end === undefined
    ? name === start
    : name >= start && name < decode(range.range_end);
}

/** The fake store. */
export class FakeStore {
  /** Answers of the next transactions that are dropped after the transaction took effect. */
  lostTransactionAnswers = 0;

  /** Closes every connection without an answer. */
  down = false;

  readonly calls: string[] = [];

  private revision = 1;

  private readonly entries = new Map<string, Entry>();

  private readonly history: { revision: number; event: StoreEvent }[] = [];

  private readonly watchers = new Set<Watcher>();

  private readonly server = http.createServer((request, answer) => {
    this.serve(request, answer).catch(() => answer.destroy());
  });

  static async start(): Promise<FakeStore> {
    const store = new FakeStore();
    store.server.listen(0, '127.0.0.1');
    await once(store.server, 'listening');
    return store;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Breaks every running watch. */
  breakWatches(): void {
    for (const watcher of this.watchers) {
      watcher.answer.destroy();
    }
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }

  private async serve(request: http.IncomingMessage, answer: http.ServerResponse): Promise<void> {
    if (this.down) {
      request.socket.destroy();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const body = JSON.parse(Buffer.concat(chunks).toString()) as unknown;
    this.calls.push(request.url ?? '');
    if (request.url === '/v3/watch') {
      this.watch(
        (body as { create_request: RangeBody & { start_revision: string } }).create_request,
        answer,
      );
      return;
    }
    const result = this.run(request.url ?? '', body);
    if (request.url === '/v3/kv/txn' && this.lostTransactionAnswers > 0) {
      this.lostTransactionAnswers -= 1;
      request.socket.destroy();
      return;
    }
    answer.end(JSON.stringify(result));
  }

  private run(path: string, body: unknown): object {
    if (path === '/v3/kv/range') {
      return this.range(body as RangeBody);
    }
    if (path === '/v3/kv/txn') {
      return this.transact(body as TransactionBody);
    }
    return path === '/v3/lease/keepalive'
      ? { result: { ID: '7', TTL: '10' } }
      : { ID: '7', TTL: '10' };
  }

  private header(): object {
    return { revision: String(this.revision) };
  }

  private range(body: RangeBody): object {
    const all = [...this.entries.values()]
      .filter((entry) => contains(body, entry.key))
      .sort((left, right) => (decode(left.key) < decode(right.key) ? -1 : 1));
    const limit = Number(body.limit ?? 0);
    const kvs = limit === 0 ? all : all.slice(0, limit);
    return { header: this.header(), kvs, more: kvs.length < all.length };
  }

  private transact(body: TransactionBody): object {
    const succeeded = body.compare.every((comparison) => {
      const entry = this.entries.get(comparison.key);
      const [actual, expected] = {
        VERSION: [entry?.version, comparison.version],
        MOD: [entry?.mod_revision, comparison.mod_revision],
        CREATE: [entry?.create_revision, comparison.create_revision],
      }[comparison.target];
      return (actual ?? 0) === Number(expected);
    });
    const operations = succeeded ? body.success : body.failure;
    if (operations.some((operation) => operation.request_range === undefined)) {
      this.revision += 1;
    }
    const events: StoreEvent[] = [];
    const responses = operations.map((operation) => this.apply(operation, events));
    this.publish(events);
    return { header: this.header(), succeeded, responses };
  }

  private apply(operation: OperationBody, events: StoreEvent[]): object {
    if (operation.request_range !== undefined) {
      return { response_range: this.range(operation.request_range) };
    }
    if (operation.request_put !== undefined) {
      const { key, value } = operation.request_put;
      const previous = this.entries.get(key);
      const kv = {
        key,
        value,
        version: (previous?.version ?? 0) + 1,
        create_revision: previous?.create_revision ?? this.revision,
        mod_revision: this.revision,
      };
      this.entries.set(key, kv);
      events.push({ type: 'PUT', kv });
      return { response_put: {} };
    }
    for (const [key, kv] of this.entries) {
      if (contains(operation.request_delete_range!, key)) {
        this.entries.delete(key);
        events.push({ type: 'DELETE', kv: { ...kv, value: '', mod_revision: this.revision } });
      }
    }
    return { response_delete_range: {} };
  }

  private publish(events: readonly StoreEvent[]): void {
    for (const event of events) {
      this.history.push({ revision: this.revision, event });
      for (const watcher of this.watchers) {
        if (contains(watcher.range, event.kv.key)) {
          this.writeEvents(watcher.answer, [event]);
        }
      }
    }
  }

  private writeEvents(answer: http.ServerResponse, events: readonly StoreEvent[]): void {
    answer.write(`${JSON.stringify({ result: { header: this.header(), events } })}\n`);
  }

  private watch(range: RangeBody & { start_revision: string }, answer: http.ServerResponse): void {
    const watcher = { range, answer };
    this.watchers.add(watcher);
    answer.on('close', () => this.watchers.delete(watcher));
    answer.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
    const past = this.history
      .filter((entry) => entry.revision >= Number(range.start_revision))
      .map((entry) => entry.event)
      .filter((event) => contains(range, event.kv.key));
    if (past.length > 0) {
      this.writeEvents(answer, past);
    }
  }
}
