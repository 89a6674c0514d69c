/**
 * A gateway listening on loopback, with a client for sending requests to it.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { type Organisation, type Route, RouteIndex, noAnnouncement } from '@dogwoodstall/traffic';
import * as gateway from '../src/index.js';
import { FixedRetryBudgets } from './fixed-retry-budget.js';

/** Extracts the request id from a raw request. */
export function readId(request: string): string {
  return /request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

/** Formats a raw response with the seal header that marks it as the endpoint's own. */
export function formatResponse(request: string, body: string, status = 200): string {
  return [
    `HTTP/1.1 ${status} Answer`,
    `Request-Id: ${readId(request)}`,
    'Seal: s',
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** Formats a raw request from a caller. */
export function formatRequest(method: string, body: string): string {
  return [
    `${method} /offers/1 HTTP/1.1`,
    'Host: shop.example',
    'Request-Id: r1',
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** A minimal wire protocol for tests. */
export const testProtocol: gateway.WireProtocol = {
  ownedRequestHeaders: new Set(['request-id', 'deadline']),
  organisationHeaders: new Set(['token', 'organisation']),
  requestIdHeader: 'request-id',
  retryAfterHeader: 'Retry-After',
  readinessPath: '/ready',
  readDeadline: (headers) => Number(headers.deadline ?? 2000),
  readToken: ({ token }) => (token?.length === 1 ? token[0] : undefined),
  listAttemptHeaders: ({ requestId, remainingMilliseconds, organisation }) => [
    'Request-Id',
    requestId ?? '',
    'Deadline',
    String(Math.floor(remainingMilliseconds)),
    ...(organisation === undefined ? [] : ['Organisation', organisation]),
  ],
  classifyResponse: (_status, headers, { requestId }) => {
    if (headers['request-id'] !== requestId) {
      return { kind: 'foreign' };
    }
    if (headers['not-run'] !== undefined) {
      return { kind: 'not-run' };
    }
    return { kind: headers.seal === undefined ? 'foreign' : 'answer' };
  },
  readLoad: () => undefined,
  readAnnouncement: () => noAnnouncement,
  listUnreadableAnnouncements: () => [],
  formatRetryAfter: (milliseconds) => String(milliseconds / 1000),
};

const route: Route = {
  name: 'offers',
  host: 'shop.example',
  prefix: '/offers/',
  idempotent: false,
  destinations: [{ service: 'valuation', weight: 1 }],
  timeoutMilliseconds: 2000,
  targetMilliseconds: 400,
  maximumAttempts: 2,
  priority: 1,
};

/** A gateway with an HTTP client. */
export class TestGateway {
  readonly decisions: gateway.RequestDecision[] = [];

  /** Bytes of the responses that were given up. */
  readonly givenUp: number[] = [];

  /** Copies of earlier responses that were removed. */
  repeatedResponses = 0;

  /** Number of each event for lack of descriptors. */
  readonly descriptorEvents = new Map<gateway.DescriptorEvent, number>();

  readonly retryBudgets = new FixedRetryBudgets();

  readonly hedgeEvents: gateway.HedgeEvent[] = [];

  private hedgingSettings: gateway.HedgingSettings | undefined;

  readonly server: gateway.GatewayServer;

  readonly agent = new http.Agent({ keepAlive: true });

  /** The organisation of each request that the usage limits were asked about, and how often usage was given back. */
  readonly usage = { admitted: [] as string[], givenBack: 0, waiting: [] as (() => void)[] };

  /** Milliseconds after which a request beyond the usage cap may return; undefined if none is beyond it. */
  private usageRetryAfter: number | undefined;

  private holdsUsage = false;

  private routes: RouteIndex;

  private readonly createRoutes: (
    version: number,
    organisations: readonly Organisation[] | undefined,
  ) => RouteIndex;

  private routesKnown = true;

  private acceptsRelays = true;

  private port = 0;

  private sentCount = 0;

  constructor(
    slots: gateway.SlotSource,
    changes: Partial<Route> = {},
    idleMilliseconds = 15_000,
    connectionLimits = gateway.computeConnectionLimits(Infinity),
  ) {
    this.createRoutes = (version, organisations) =>
      new RouteIndex({
        version,
        routes: [
          { ...route, ...changes },
          { ...route, ...changes, name: 'open', prefix: '/open/', anonymous: true },
        ],
        services: [],
        ...(organisations && { organisations: [...organisations] }),
        limits: {
          headerBytes: 16_384,
          bodyBytes: 1_000_000,
          headerMilliseconds: 3000,
          idleMilliseconds,
        },
      });
    this.routes = this.createRoutes(1, undefined);
    this.server = new gateway.GatewayServer({
      protocol: testProtocol,
      slots,
      retryBudgets: this.retryBudgets,
      usageLimits: {
        admit: ({ name }, signal) => {
          this.usage.admitted.push(name);
          if (this.usageRetryAfter !== undefined) {
            return { kind: 'refused', retryAfter: this.usageRetryAfter };
          }
          const admitted = {
            kind: 'admitted',
            giveBack: () => {
              this.usage.givenBack += 1;
            },
          } as const;
          if (!this.holdsUsage) {
            return admitted;
          }
          return new Promise((resolve) => {
            this.usage.waiting.push(() => resolve(admitted));
            signal.addEventListener('abort', () => resolve({ kind: 'refused', retryAfter: 0 }));
          });
        },
      },
      hedging: new gateway.Hedging({
        settings: () => this.hedgingSettings,
        onDecision: ({ event }) => this.hedgeEvents.push(event),
        now: () => performance.now(),
      }),
      isDaemon: (host) => this.acceptsRelays && host === '127.0.0.1',
      findRoutes: () => (this.routesKnown ? this.routes : undefined),
      waitForRoutes: async (milliseconds) => {
        const until = performance.now() + milliseconds;
        while (!this.routesKnown && performance.now() < until) {
          await delay(5);
        }
      },
      maximumBufferedBytes: 10_000_000,
      maximumTotalBytes: 12_000_000,
      connectionLimits,
      onDescriptorEvent: (event, count) =>
        this.descriptorEvents.set(event, (this.descriptorEvents.get(event) ?? 0) + count),
      onGivenUp: (bytes) => this.givenUp.push(bytes),
      onRepeatedResponse: () => {
        this.repeatedResponses += 1;
      },
      onUnreadableAnnouncement: () => {},
      onDecision: (decision) => this.decisions.push(decision),
      onServerError: (error) => {
        throw error;
      },
      onUnexpectedError: (_id, error) => {
        throw error;
      },
    });
  }

  async listen(): Promise<this> {
    this.port = (await this.server.listen('127.0.0.1', 0)).port;
    return this;
  }

  /** Sets the limits of hedging, which has none at first. */
  limitHedging(settings: gateway.HedgingSettings): void {
    this.hedgingSettings = settings;
  }

  /** Opens a connection whose caller side stays open after the gateway has closed its own. */
  connect(): net.Socket {
    return net.connect({ host: '127.0.0.1', port: this.port, allowHalfOpen: true });
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Makes the gateway take every caller for one that is no daemon. */
  rejectRelays(): void {
    this.acceptsRelays = false;
  }

  /** Takes all requests of organisations for ones beyond their usage cap. */
  refuseUsage(retryAfter: number): void {
    this.usageRetryAfter = retryAfter;
  }

  /** Makes further requests of organisations wait for their usage limit, as if no keeper responded. */
  holdUsage(): void {
    this.holdsUsage = true;
  }

  /** Admits further requests of organisations at once, as at first. */
  passUsage(): void {
    this.holdsUsage = false;
  }

  /** Admits the requests that wait for their usage limit. */
  admitWaiting(): void {
    for (const admit of this.usage.waiting.splice(0)) {
      admit();
    }
  }

  /** Puts a version of the configuration in force that has the given organisations. */
  setOrganisations(version: number, organisations: readonly Organisation[]): void {
    this.routes = this.createRoutes(version, organisations);
  }

  /** Sets whether the routes are known to the gateway. */
  setRoutesKnown(known: boolean): void {
    this.routesKnown = known;
  }

  /**
   * Sends a request, with an id of its own unless one is given; resolves with undefined when the connection ends before
   * a complete response.
   */
  send(
    options: {
      id?: string;
      body?: string | Buffer;
      path?: string;
      headers?: Record<string, string>;
      signal?: AbortSignal;
    } = {},
  ): Promise<{ status: number; body: string; headers: http.IncomingHttpHeaders } | undefined> {
    this.sentCount += 1;
    const id = options.id ?? `request-${this.sentCount}`;
    return new Promise((resolve) => {
      const request = http.request({
        agent: this.agent,
        host: '127.0.0.1',
        port: this.port,
        method: options.body === undefined ? 'GET' : 'POST',
        path: options.path ?? '/offers/1',
        headers: { Host: 'shop.example', 'Request-Id': id, ...options.headers },
        ...(options.signal && { signal: options.signal }),
      });
      request.on('error', () => resolve(undefined));
      request.on('response', (response) => {
        let body = '';
        response.on('data', (chunk) => {
          body += String(chunk);
        });
        response.on('error', () => resolve(undefined));
        response.on('end', () =>
          resolve({ status: response.statusCode ?? 0, body, headers: response.headers }),
        );
      });
      request.end(options.body);
    });
  }

  close(): void {
    this.agent.destroy();
    this.server.close();
  }
}
