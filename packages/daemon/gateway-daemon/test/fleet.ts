/**
 * Daemons on the addresses of the loopback network before plain endpoints and a store in memory.
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { WireContract } from '@dogwoodstall/gateway';
import { createSilentLog } from '@dogwoodstall/observability';
import { FailureError } from '@dogwoodstall/results';
import type { Endpoint, TrafficConfiguration } from '@dogwoodstall/traffic';
import * as gatewayDaemon from '../src/index.js';

/** The wire of the tests. */
const contract: WireContract = {
  ownedRequestHeaders: new Set(['request-id']),
  requestIdHeader: 'request-id',
  retryAfterHeader: 'Retry-After',
  readinessPath: '/ready',
  readDeadline: () => 2000,
  listAttemptHeaders: ({ requestId }) => ['Request-Id', requestId ?? ''],
  judgeAnswer: () => ({ kind: 'answer' }),
  readLoad: () => undefined,
  formatRetryAfter: String,
};

interface Change {
  readonly revision: number;
  readonly change: gatewayDaemon.EndpointChange;
}

/** The store's content, shared by the sources of all daemons. */
export class MemoryStore {
  revision = 1;

  configuration: TrafficConfiguration | undefined;

  configurationRevision = 0;

  readonly endpoints = new Map<string, Endpoint>();

  readonly changes: Change[] = [];

  readonly members = new Map<string, gatewayDaemon.Member>();

  put(endpoint: Endpoint): void {
    this.revision += 1;
    this.endpoints.set(endpoint.id, endpoint);
    this.changes.push({ revision: this.revision, change: { kind: 'put', endpoint } });
  }

  remove(id: string): void {
    this.revision += 1;
    this.endpoints.delete(id);
    this.changes.push({ revision: this.revision, change: { kind: 'removed', id } });
  }

  configure(version: number, service: string): void {
    this.revision += 1;
    this.configurationRevision = this.revision;
    this.configuration = {
      version,
      routes: [
        {
          name: 'offers',
          host: 'shop.example',
          prefix: '/',
          idempotent: true,
          destinations: [{ service, weight: 1 }],
          timeoutMilliseconds: 2000,
          targetMilliseconds: 400,
          maximumAttempts: 2,
          priority: 1,
        },
      ],
      services: [],
      limits: {
        headerBytes: 16_384,
        bodyBytes: 1_000_000,
        headerMilliseconds: 3000,
        idleMilliseconds: 15_000,
      },
    };
  }
}

/** One daemon's view of the store. */
export class MemorySource implements gatewayDaemon.DirectorySource {
  /** Whether the store turns this daemon away. */
  away = false;

  calls = 0;

  constructor(private readonly store: MemoryStore) {}

  readEndpoints(): ReturnType<gatewayDaemon.DirectorySource['readEndpoints']> {
    return this.answer(() => ({
      endpoints: [...this.store.endpoints.values()],
      revision: this.store.revision,
    }));
  }

  async watchEndpoints(
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<gatewayDaemon.EndpointChanges> {
    await this.waitFor(() => this.store.changes.some(({ revision }) => revision > after), wait, signal);
    return this.answer(() => ({
      changes: this.store.changes
        .filter(({ revision }) => revision > after)
        .map(({ change }) => change),
      revision: this.store.revision,
    }));
  }

  readConfiguration(): Promise<gatewayDaemon.ConfigurationReading> {
    return this.answer(() => ({
      configuration: this.store.configuration,
      revision: this.store.revision,
    }));
  }

  async watchConfiguration(
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<gatewayDaemon.ConfigurationReading> {
    await this.waitFor(() => this.store.configurationRevision > after, wait, signal);
    return this.readConfiguration();
  }

  readMembers(): Promise<readonly gatewayDaemon.Member[]> {
    return this.answer(() => [...this.store.members.values()]);
  }

  writeMember(member: gatewayDaemon.Member): Promise<void> {
    return this.answer(() => {
      this.store.members.set(member.name, member);
    });
  }

  private async waitFor(
    happened: () => boolean,
    wait: number,
    signal: AbortSignal,
  ): Promise<void> {
    const until = performance.now() + wait;
    while (!happened() && performance.now() < until && !this.away) {
      await delay(5, undefined, { signal });
    }
  }

  private answer<Value>(read: () => Value): Promise<Value> {
    this.calls += 1;
    if (this.away) {
      return Promise.reject(new FailureError('StoreUnavailable'));
    }
    return Promise.resolve(read());
  }
}

/** An endpoint that counts its requests. */
export class CountingEndpoint {
  requests = 0;

  answerAfter = 5;

  private readonly server = http.createServer((request, response) => {
    this.requests += 1;
    request.resume();
    setTimeout(() => {
      response.writeHead(200, { 'Request-Id': String(request.headers['request-id']) });
      response.end(this.id);
    }, this.answerAfter);
  });

  constructor(
    readonly id: string,
    readonly service = 'valuation',
  ) {}

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  describe(changes: Partial<Endpoint> = {}): Endpoint {
    return {
      id: this.id,
      service: this.service,
      address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`,
      zone: 'a',
      slots: 4,
      draining: false,
      warmUpMilliseconds: 0,
      lifetime: 1,
      ...changes,
    };
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

const CALLER_PORT = 18_080;
const READINESS_PORT = 18_081;
const PEER_PORT = 18_082;
const DATAGRAM_PORT = 18_083;

/** A daemon with its source. */
export interface FleetDaemon {
  readonly host: string;
  readonly source: MemorySource;
  readonly daemon: gatewayDaemon.GatewayDaemon;
}

/** Daemons of one test; `network` is the third part of their addresses, so that tests do not meet. */
export class Fleet {
  readonly store = new MemoryStore();

  readonly daemons: FleetDaemon[] = [];

  constructor(private readonly network: number) {}

  /** Starts a daemon. */
  async start(seeds: readonly string[] = [], away = false): Promise<FleetDaemon> {
    const host = `127.0.${this.network}.${this.daemons.length + 1}`;
    const source = new MemorySource(this.store);
    source.away = away;
    const daemon = new gatewayDaemon.GatewayDaemon({
      settings: gatewayDaemon.gatewaySettingsSchema.parse({
        name: `daemon-${this.daemons.length + 1}`,
        zone: 'a',
        seeds: seeds.map((seed) => `${seed}:${PEER_PORT}`),
        listen: {
          caller: `${host}:${CALLER_PORT}`,
          readiness: `${host}:${READINESS_PORT}`,
          peer: `${host}:${PEER_PORT}`,
          datagramPort: DATAGRAM_PORT,
        },
        store: { address: '127.0.0.1:1' },
        retries: { ratio: 0.2, slack: 20, windowSeconds: 10 },
        stop: { graceSeconds: 3 },
        limits: { memoryMegabytes: 100 },
      }),
      contract,
      source,
      log: createSilentLog(),
    });
    await daemon.start();
    const started = { host, source, daemon };
    this.daemons.push(started);
    return started;
  }

  close(): void {
    for (const { daemon } of this.daemons) {
      daemon.close();
    }
  }
}

/** Sends one request to a daemon; resolves with status and body, or undefined without an answer. */
export function ask(
  host: string,
  id = 'r1',
): Promise<{ readonly status: number; readonly body: string } | undefined> {
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port: CALLER_PORT,
      path: '/1',
      agent: false,
      headers: { Host: 'shop.example', 'Request-Id': id },
    });
    request.on('error', () => resolve(undefined));
    request.on('response', (response) => {
      let body = '';
      response.on('data', (chunk) => {
        body += String(chunk);
      });
      response.on('error', () => resolve(undefined));
      response.on('end', () => resolve({ status: response.statusCode ?? 0, body }));
    });
    request.end();
  });
}

/** Waits until a condition holds; throws when it does not in time. */
export async function waitUntil(
  what: string,
  holds: () => boolean | Promise<boolean>,
  milliseconds: number,
): Promise<void> {
  const until = performance.now() + milliseconds;
  while (!(await holds())) {
    if (performance.now() > until) {
      throw new Error(`${what}: not within ${milliseconds} ms`);
    }
    await delay(20);
  }
}
