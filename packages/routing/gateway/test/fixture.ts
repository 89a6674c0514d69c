/**
 * A gateway on loopback before scripted endpoints.
 */
import * as net from 'node:net';
import * as http from 'node:http';
import { type Route, RouteIndex } from '@dogwoodstall/traffic';
import * as gateway from '../src/index.js';

/** What a scripted endpoint does with the text of one request. */
export type Script = (socket: net.Socket, request: string, number: number) => void;

/** An endpoint that answers with bytes of the test's choice. */
export class ScriptedEndpoint {
  readonly requests: string[] = [];

  readonly sockets = new Set<net.Socket>();

  readonly server: net.Server;

  connections = 0;

  constructor(script: Script) {
    this.server = net.createServer((socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      let pending = '';
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('data', (chunk) => {
        pending += chunk.toString('latin1');
        for (let end = this.findEnd(pending); end > 0; end = this.findEnd(pending)) {
          const request = pending.slice(0, end);
          pending = pending.slice(end);
          this.requests.push(request);
          script(socket, request, this.requests.length);
        }
      });
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private findEnd(text: string): number {
    const head = text.indexOf('\r\n\r\n');
    if (head < 0) {
      return 0;
    }
    const length = Number(/content-length: (\d+)/i.exec(text.slice(0, head))?.[1] ?? 0);
    const end = head + 4 + length;
    return text.length >= end ? end : 0;
  }
}

/** Returns the request id in the text of a request. */
export function readId(request: string): string {
  return /request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

/** Formats a sealed answer. */
export function formatAnswer(request: string, body: string, status = 200): string {
  return [
    `HTTP/1.1 ${status} Answer`,
    `Request-Id: ${readId(request)}`,
    'Seal: s',
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** The wire of the tests. */
export const testContract: gateway.WireContract = {
  ownedRequestHeaders: new Set(['request-id', 'deadline']),
  requestIdHeader: 'request-id',
  retryAfterHeader: 'Retry-After',
  readinessPath: '/ready',
  readDeadline: (headers) => Number(headers.deadline ?? 2000),
  listAttemptHeaders: ({ requestId, remainingMilliseconds }) => [
    'Request-Id',
    requestId ?? '',
    'Deadline',
    String(Math.floor(remainingMilliseconds)),
  ],
  judgeAnswer: (_status, headers, { requestId }) => {
    if (headers['request-id'] !== requestId) {
      return { kind: 'foreign' };
    }
    if (headers['not-run'] !== undefined) {
      return { kind: 'not-run' };
    }
    return { kind: headers.seal === undefined ? 'foreign' : 'answer' };
  },
  readLoad: () => undefined,
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

/** Gives the endpoints in turn, without any choice. */
export class SlotsInTurn implements gateway.SlotSource {
  readonly asks: gateway.SlotAsk[] = [];

  readonly ends: gateway.SlotEnd[] = [];

  constructor(
    private readonly addresses: readonly string[],
    private readonly hedgeAfter = 5000,
  ) {}

  acquire(ask: gateway.SlotAsk): Promise<gateway.SlotDecision> {
    this.asks.push(ask);
    const index = (this.asks.length - 1) % this.addresses.length;
    return Promise.resolve({
      kind: 'slot',
      slot: {
        endpoint: String(index),
        address: this.addresses[index] as string,
        hedgeAfter: this.hedgeAfter,
        report: (end) => this.ends.push(end),
      },
    });
  }
}

/** A gateway with its caller. */
export class TestGateway {
  readonly decisions: gateway.RequestDecision[] = [];

  readonly server: gateway.GatewayServer;

  readonly agent = new http.Agent({ keepAlive: true });

  private port = 0;

  constructor(slots: gateway.SlotSource, changes: Partial<Route> = {}, idleMilliseconds = 15_000) {
    const routes = new RouteIndex({
      version: 1,
      routes: [{ ...route, ...changes }],
      services: [],
      limits: {
        headerBytes: 16_384,
        bodyBytes: 1_000_000,
        headerMilliseconds: 3000,
        idleMilliseconds,
      },
    });
    this.server = new gateway.GatewayServer({
      contract: testContract,
      slots,
      findRoutes: () => routes,
      heldBytes: 10_000_000,
      onDecision: (decision) => this.decisions.push(decision),
      onUnexpectedError: (_id, error) => {
        throw error;
      },
    });
  }

  async listen(): Promise<this> {
    this.port = (await this.server.listen('127.0.0.1', 0)).port;
    return this;
  }

  /** Sends a request; resolves with undefined when the connection ends without a whole answer. */
  send(
    options: { id?: string; body?: string | Buffer; path?: string; signal?: AbortSignal } = {},
  ): Promise<{ status: number; body: string; headers: http.IncomingHttpHeaders } | undefined> {
    return new Promise((resolve) => {
      const request = http.request({
        agent: this.agent,
        host: '127.0.0.1',
        port: this.port,
        method: options.body === undefined ? 'GET' : 'POST',
        path: options.path ?? '/offers/1',
        headers: { Host: 'shop.example', 'Request-Id': options.id ?? 'r1' },
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
