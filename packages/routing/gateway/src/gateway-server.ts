/**
 * The caller port for transparent traffic: request checks, route, deadline, body, attempts and the answer.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import type { Duplex } from 'node:stream';
import * as hashing from '@dogwoodstall/hashing';
import * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import { type Limits, type RouteIndex, chooseDestination } from '@dogwoodstall/traffic';
import { type Arrival, CallerAnswers, NOT_READY_RETRY_MILLISECONDS } from './caller-answers.js';
import { CallerSockets } from './caller-sockets.js';
import { ConnectionPool } from './connection-pool.js';
import type { WireContract } from './contract.js';
import { type HeldBody, HeldBytes, readBody } from './held-bytes.js';
import { type AttemptNote, type RunFacts, runRequest } from './request-run.js';
import type { SlotSource } from './slots.js';

/** The decision about one request, for the log. */
export interface RequestDecision {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  readonly configurationVersion: number;
  readonly attempts: readonly AttemptNote[];
  readonly result: string;
  readonly status: number;
  readonly milliseconds: number;
  readonly remainingMilliseconds: number;
}

/** Options of `GatewayServer`. */
export interface GatewayServerOptions {
  readonly contract: WireContract;
  readonly slots: SlotSource;
  /** Routes in force; undefined until configuration and endpoints are known. */
  readonly findRoutes: () => RouteIndex | undefined;
  /** Resolves when routes are in force, at the latest after a time. */
  readonly waitForRoutes: (milliseconds: number) => Promise<void>;
  /** Bytes of request bodies held at a time. */
  readonly heldBytes: number;
  readonly onDecision: (decision: RequestDecision) => void;
  readonly onUnexpectedError: (requestId: string, error: unknown) => void;
}

/** Deadline of callers that tell none and whose route has a longer timeout. */
const DEFAULT_LIMITS: Limits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headerMilliseconds: 10_000,
  idleMilliseconds: 60_000,
};
/** The answer leaves this long before the deadline, so that it arrives in time. */
const ANSWER_MARGIN_MILLISECONDS = 4;
/** A daemon that has just started learns the routes within this time; a request then waits rather than comes back. */
const ROUTES_WAIT_MILLISECONDS = 500;
/** Share of a caller's time that its request waits for the routes. */
const ROUTES_WAIT_SHARE = 0.3;
const SLOW_HEADER_CHECK_MILLISECONDS = 1000;
const RADIX = 36;

/** Serves callers. */
export class GatewayServer {
  readonly pool = new ConnectionPool();

  private readonly server: http.Server;

  private readonly sockets: CallerSockets;

  private readonly held: HeldBytes;

  private readonly answers: CallerAnswers;

  private stopping = false;

  private refusing = false;

  private running = 0;

  constructor(private readonly options: GatewayServerOptions) {
    this.held = new HeldBytes(options.heldBytes);
    this.answers = new CallerAnswers(options.contract, () => this.stopping);
    this.sockets = new CallerSockets(() => this.limits.idleMilliseconds);
    this.server = this.createServer();
  }

  /** Requests without an answer. */
  get inFlight(): number {
    return this.running;
  }

  /** Open connections of callers. */
  get connections(): number {
    return this.sockets.size;
  }

  /** Binds the port; throws `ListenFailed`. */
  async listen(host: string, port: number): Promise<net.AddressInfo> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (cause) =>
        reject(new results.FailureError('ListenFailed', cause.message, { cause })),
      );
      this.server.listen({ host, port, backlog: 1024 }, resolve);
    });
    return this.server.address() as net.AddressInfo;
  }

  /** From now on each answer closes its connection. */
  beginStop(): void {
    this.stopping = true;
  }

  /** Stops to accept connections, refuses further requests, and closes connections without one. */
  closeIdle(): void {
    this.refusing = true;
    if (this.server.listening) {
      // `http.Server.close` would also destroy connections on which a request is arriving.
      net.Server.prototype.close.call(this.server);
    }
    this.sockets.closeIdle();
  }

  /** Closes everything at once. */
  close(): void {
    this.sockets.close();
    this.closeIdle();
    this.server.closeAllConnections();
    this.pool.close();
  }

  private get limits(): Limits {
    return this.options.findRoutes()?.configuration.limits ?? DEFAULT_LIMITS;
  }

  private createServer(): http.Server {
    const server = http.createServer({
      insecureHTTPParser: false,
      maxHeaderSize: DEFAULT_LIMITS.headerBytes,
      headersTimeout: DEFAULT_LIMITS.headerMilliseconds,
      requestTimeout: 0,
      // Idle connections are closed by `CallerSockets`, which follows changes of the limit.
      keepAliveTimeout: 0,
      requireHostHeader: false,
      connectionsCheckingInterval: SLOW_HEADER_CHECK_MILLISECONDS,
      noDelay: true,
    });
    server.maxHeadersCount = 0;
    server.on('connection', this.sockets.add);
    server.on('request', (request, response) => {
      this.accept(request, response).catch((error: unknown) => {
        this.options.onUnexpectedError('', error);
        response.destroy();
      });
    });
    server.on('connect', (_request, socket: Duplex) =>
      GatewayServer.refuseRaw(socket, 'MethodUnsupported'),
    );
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
      GatewayServer.refuseRaw(socket, proxy.classifyParserError(error.code)),
    );
    return server;
  }

  private static refuseRaw(socket: Duplex, result: results.ResultName): void {
    socket.on('error', () => {
      // The caller is gone.
    });
    if (socket.writable) {
      socket.end(proxy.formatRawFailure(results.createFailure(result), ''));
    } else {
      socket.destroy();
    }
  }

  private async accept(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    if (this.sockets.isClosing(socket)) {
      socket.destroy();
      return;
    }
    this.sockets.enter(socket);
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
      this.sockets.leave(socket);
    });
    const header = request.headers[this.options.contract.requestIdHeader];
    const requestId = typeof header === 'string' ? header : undefined;
    const arrival = { request, response, requestId, arrivedAt: performance.now() };
    try {
      await this.serve(arrival);
    } catch (error) {
      if (!(error instanceof results.FailureError)) {
        this.options.onUnexpectedError(requestId ?? '', error);
      }
      this.answers.sendFailure(arrival, results.toFailure(error), undefined);
    }
  }

  private async serve(arrival: Arrival): Promise<void> {
    const { request, response, requestId, arrivedAt } = arrival;
    const { contract, slots } = this.options;
    const checked = proxy.checkRequest(request);
    const routes = await this.findRoutes(request);
    if (routes === undefined || this.refusing) {
      this.refuseNotReady(arrival, routes);
      return;
    }
    const route = routes.find(checked.host, checked.path);
    if (route === undefined) {
      throw new results.FailureError('RouteUnknown');
    }
    const wanted = contract.readDeadline(request.headers) ?? route.timeoutMilliseconds;
    const allowed = Math.min(wanted, route.timeoutMilliseconds);
    const deadlineAt = arrivedAt + allowed - ANSWER_MARGIN_MILLISECONDS;
    const work = new AbortController();
    const timer = setTimeout(
      () => work.abort(new results.FailureError('BackendTimeout')),
      Math.max(0, deadlineAt - arrivedAt),
    );
    const onClose = (): void => work.abort(new results.FailureError('CallerCancelled'));
    response.once('close', onClose);
    let body: HeldBody | undefined;
    const attempts: AttemptNote[] = [];
    try {
      body = await readBody(request, {
        contentLength: checked.contentLength,
        maximumBytes: routes.configuration.limits.bodyBytes,
        held: this.held,
        signal: work.signal,
      });
      const facts: RunFacts = {
        requestId,
        service: chooseDestination(route, Math.random()),
        route,
        method: checked.method,
        target: request.url ?? '/',
        headers: this.selectHeaders(request),
        body: body.bytes,
        deadlineAt,
        fingerprint: GatewayServer.fingerprint(request, body.bytes),
      };
      const end = await runRequest({
        facts,
        slots,
        attempt: { pool: this.pool, contract },
        signal: work.signal,
        note: (note) => attempts.push(note),
      });
      response.off('close', onClose);
      const { status, result } = this.answers.finish(arrival, end);
      this.options.onDecision({
        requestId: requestId ?? '',
        route: route.name,
        service: facts.service,
        configurationVersion: routes.configuration.version,
        attempts,
        result,
        status,
        milliseconds: Math.round(performance.now() - arrivedAt),
        remainingMilliseconds: Math.round(deadlineAt - performance.now()),
      });
    } finally {
      clearTimeout(timer);
      response.off('close', onClose);
      body?.release();
    }
  }

  private async findRoutes(request: http.IncomingMessage): Promise<RouteIndex | undefined> {
    if (this.options.findRoutes() === undefined && !this.refusing) {
      const deadline = this.options.contract.readDeadline(request.headers) ?? Infinity;
      const wait = Math.min(ROUTES_WAIT_MILLISECONDS, deadline * ROUTES_WAIT_SHARE);
      await this.options.waitForRoutes(wait);
    }
    return this.options.findRoutes();
  }

  private refuseNotReady(arrival: Arrival, routes: RouteIndex | undefined): void {
    this.answers.sendFailure(
      arrival,
      results.createFailure('NotReady'),
      NOT_READY_RETRY_MILLISECONDS,
    );
    this.options.onDecision({
      requestId: arrival.requestId ?? '',
      route: '',
      service: '',
      configurationVersion: routes?.configuration.version ?? 0,
      attempts: [],
      result: 'NotReady',
      status: results.findResult('NotReady').httpStatus,
      milliseconds: Math.round(performance.now() - arrival.arrivedAt),
      remainingMilliseconds: 0,
    });
  }

  private selectHeaders(request: http.IncomingMessage): string[] {
    const { ownedRequestHeaders } = this.options.contract;
    const all = proxy.selectRequestHeaders(request.rawHeaders);
    const selected: string[] = [];
    for (let index = 0; index < all.length; index += 2) {
      const name = all[index] as string;
      // undici writes the length of the held body itself.
      if (!ownedRequestHeaders.has(name) && name !== 'content-length') {
        selected.push(name, all[index + 1] as string);
      }
    }
    return selected;
  }

  private static fingerprint(request: http.IncomingMessage, body: Buffer | null): string {
    const hash = hashing
      .createStreamHash64()
      .update(`${request.socket.remoteAddress} ${request.method} ${request.headers.host}`)
      .update(request.url ?? '');
    if (body !== null) {
      hash.update(body);
    }
    return hash.digest().toString(RADIX);
  }
}
