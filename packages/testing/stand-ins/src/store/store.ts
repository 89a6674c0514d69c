/**
 * Stand-in for the platform's key-value service. It implements the subset of the etcd v3 JSON gateway
 * that the fleet uses, and adds call counts, rate limits and fault injection.
 */
import * as http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import * as results from '@dogwoodstall/results';
import * as zod from 'zod';
import { ControlServer, closeServer, listen, readBody, writeJson } from '../control-server.js';
import { StoreEngine } from './engine.js';
import { StoreConditions, isRead, type CallKind, type StoreFaults } from './faults.js';
import { isInRange } from './write-batch.js';
import * as messages from './messages.js';

// The platform stores values of up to 1 MiB; base64 and JSON encode them in about 4/3 of that size.
const MAXIMUM_VALUE_BYTES = 1_048_576;
const MAXIMUM_BODY_BYTES = 4 * MAXIMUM_VALUE_BYTES;
// gRPC status codes, which the gateway includes in its error responses.
const GRPC_INVALID_ARGUMENT = 3;
const GRPC_RESOURCE_EXHAUSTED = 8;

interface Call {
  readonly kind: CallKind;
  run(engine: StoreEngine, body: unknown): Record<string, unknown>;
}

const calls: Readonly<Record<string, Call>> = {
  '/v3/kv/range': {
    kind: 'range',
    run: (engine, body) => engine.range(messages.rangeSchema.parse(body)),
  },
  '/v3/kv/put': { kind: 'put', run: (engine, body) => engine.put(messages.putSchema.parse(body)) },
  '/v3/kv/deleterange': {
    kind: 'deleteRange',
    run: (engine, body) => engine.deleteRange(messages.deleteRangeSchema.parse(body)),
  },
  '/v3/kv/txn': {
    kind: 'transaction',
    run: (engine, body) => engine.transact(messages.transactionSchema.parse(body)),
  },
  '/v3/lease/grant': {
    kind: 'leaseGrant',
    run: (engine, body) => {
      const { TTL, ID } = messages.leaseGrantSchema.parse(body);
      return { header: engine.header(), ID: engine.leases.grant(TTL, ID), TTL: String(TTL) };
    },
  },
  '/v3/lease/keepalive': {
    kind: 'leaseKeepAlive',
    run: (engine, body) => {
      const { ID } = messages.leaseSchema.parse(body);
      const TTL = String(engine.leases.keepAlive(ID));
      return { result: messages.omitDefaults({ header: engine.header(), ID, TTL }) };
    },
  },
  '/v3/lease/revoke': {
    kind: 'leaseRevoke',
    run: (engine, body) => {
      const { ID } = messages.leaseSchema.parse(body);
      if (!engine.leases.revoke(ID)) {
        throw new results.FailureError('StoreRejected', 'etcdserver: requested lease not found');
      }
      return { header: engine.header() };
    },
  },
};

function writeError(
  response: http.ServerResponse,
  status: number,
  code: number,
  text: string,
): void {
  writeJson(response, status, { error: text, code, message: text });
}

function containsOversizedValue(body: unknown): boolean {
  return JSON.stringify(body, (name, value: unknown) => {
    const oversized =
      name === 'value' && Buffer.byteLength(String(value), 'base64') > MAXIMUM_VALUE_BYTES;
    return oversized ? '\u0000oversized' : value;
  }).includes('\\u0000oversized');
}

function tryParseWatchRequest(text: string): zod.output<typeof messages.watchSchema> | undefined {
  try {
    return messages.watchSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}

/** Reads the first message; a watch may keep its request body open while the response streams. */
async function readWatchRequest(request: http.IncomingMessage): Promise<messages.WatchRequest> {
  return new Promise((resolve, reject) => {
    let text = '';
    request.setEncoding('utf8');
    request.on('data', (chunk: string) => {
      text += chunk;
      const parsed = tryParseWatchRequest(text);
      if (parsed !== undefined) {
        resolve(parsed.create_request);
      }
    });
    request.once('end', () =>
      reject(
        new results.FailureError(
          'StoreRejected',
          'the request body ended without a complete watch request',
        ),
      ),
    );
  });
}

/** Options of the store stand-in. */
export interface StoreOptions {
  /** Seed for the choice of lost responses. */
  readonly seed?: number;
}

/** HTTP server of the store, with its control address. */
export class StoreStandIn {
  readonly conditions: StoreConditions;

  readonly control: ControlServer;

  readonly engine = new StoreEngine();

  private readonly server: http.Server;

  private boundAddress = '';

  constructor(options: StoreOptions = {}) {
    this.conditions = new StoreConditions(options.seed ?? 1, () => performance.now());
    this.server = http.createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.control = new ControlServer({
      'GET /calls': () => this.conditions.getCallCounts(),
      'GET /faults': () => this.conditions.faults,
      'POST /faults': (body) => this.setFaults(body),
    });
  }

  get address(): string {
    return this.boundAddress;
  }

  async start(address = '127.0.0.1:0', controlAddress = '127.0.0.1:0'): Promise<void> {
    this.boundAddress = await listen(this.server, address);
    await this.control.start(controlAddress);
  }

  async stop(): Promise<void> {
    this.engine.leases.stop();
    await closeServer(this.server);
    await this.control.stop();
  }

  /** Merges the given faults into the current ones; the outage `reset` also closes open watches. */
  setFaults(faults: unknown): StoreFaults {
    const current = this.conditions.set(faults);
    if (current.outage === 'reset') {
      this.server.closeAllConnections();
    }
    return current;
  }

  private async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { outage, delayMilliseconds } = this.conditions.faults;
    if (outage === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (outage === 'silent') {
      request.resume();
      return;
    }
    if (delayMilliseconds > 0) {
      await sleep(delayMilliseconds);
    }
    if (request.url === '/v3/watch') {
      await this.watch(request, response);
      return;
    }
    const call = calls[request.url ?? ''];
    if (call === undefined) {
      writeError(response, 404, 5, 'Not Found');
      return;
    }
    await this.runCall(call, request, response);
  }

  private async runCall(
    call: Call,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const text = await readBody(request, MAXIMUM_BODY_BYTES);
    if (!this.conditions.admit(call.kind)) {
      writeError(response, 429, GRPC_RESOURCE_EXHAUSTED, 'too many requests');
      return;
    }
    try {
      const body: unknown = JSON.parse(text);
      if (containsOversizedValue(body)) {
        writeError(response, 400, GRPC_INVALID_ARGUMENT, 'etcdserver: request is too large');
        return;
      }
      const message = call.run(this.engine, body);
      if (!isRead(call.kind) && this.conditions.shouldLoseResponse()) {
        request.socket.resetAndDestroy();
        return;
      }
      writeJson(response, 200, message);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      writeError(response, 400, GRPC_INVALID_ARGUMENT, reason);
    }
  }

  private async watch(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const created = await readWatchRequest(request);
    if (!this.conditions.admit('watch')) {
      writeError(response, 429, GRPC_RESOURCE_EXHAUSTED, 'too many requests');
      return;
    }
    response.writeHead(200, { 'content-type': 'application/json' });
    const send = (result: Record<string, unknown>): void => {
      response.write(
        `${JSON.stringify({ result: { header: this.engine.header(), ...result } })}\n`,
      );
    };
    send({ created: true });
    const { key, range_end: end, start_revision: start } = created;
    if (start > 0) {
      const missed = this.engine.keySpace.eventsSince(start, key, end);
      if (missed.length > 0) {
        send({ events: missed.map(messages.formatEvent) });
      }
    }
    const unsubscribe = this.engine.keySpace.subscribe((events) => {
      const matching = events.filter((event) => isInRange(event.key.key, key, end));
      if (matching.length > 0) {
        send({ events: matching.map(messages.formatEvent) });
      }
    });
    response.once('close', unsubscribe);
  }
}
