/**
 * In-memory fake of the key-value store for tests, with fault injection. It implements the subset of
 * the JSON gateway that the client uses.
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
  readonly response: http.ServerResponse;
}

const decode = (text: string): string => Buffer.from(text, 'base64').toString('latin1');

function isInRange(range: RangeBody, key: string): boolean {
  const start = decode(range.key);
  const name = decode(key);
  return range.range_end === undefined
    ? name === start
    : name >= start && name < decode(range.range_end);
}

/** In-memory key-value store behind an HTTP server on the loopback interface. */
export class FakeStore {
  /** Number of next transactions that are applied but whose responses are dropped. */
  lostTransactionResponses = 0;

  /** Whether connections are closed without a response. */
  isDown = false;

  readonly calls: string[] = [];

  private revision = 1;

  private readonly entries = new Map<string, Entry>();

  private readonly history: { revision: number; event: StoreEvent }[] = [];

  private readonly watchers = new Set<Watcher>();

  private readonly server = http.createServer((request, response) => {
    this.serve(request, response).catch(() => response.destroy());
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

  /** Closes the connections of all active watches. */
  breakWatches(): void {
    for (const watcher of this.watchers) {
      watcher.response.destroy();
    }
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (this.isDown) {
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
        response,
      );
      return;
    }
    const result = this.run(request.url ?? '', body);
    if (request.url === '/v3/kv/txn' && this.lostTransactionResponses > 0) {
      this.lostTransactionResponses -= 1;
      request.socket.destroy();
      return;
    }
    response.end(JSON.stringify(result));
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
      .filter((entry) => isInRange(body, entry.key))
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
      if (isInRange(operation.request_delete_range!, key)) {
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
        if (isInRange(watcher.range, event.kv.key)) {
          this.writeEvents(watcher.response, [event]);
        }
      }
    }
  }

  private writeEvents(response: http.ServerResponse, events: readonly StoreEvent[]): void {
    response.write(`${JSON.stringify({ result: { header: this.header(), events } })}\n`);
  }

  private watch(
    range: RangeBody & { start_revision: string },
    response: http.ServerResponse,
  ): void {
    const watcher = { range, response };
    this.watchers.add(watcher);
    response.on('close', () => this.watchers.delete(watcher));
    response.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
    const missedEvents = this.history
      .filter((entry) => entry.revision >= Number(range.start_revision))
      .map((entry) => entry.event)
      .filter((event) => isInRange(range, event.kv.key));
    if (missedEvents.length > 0) {
      this.writeEvents(response, missedEvents);
    }
  }
}
