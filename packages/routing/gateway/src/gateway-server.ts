/**
 * The HTTP server that accepts requests from callers: validates and routes them, applies the deadline, buffers the body
 * and sends the response.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import type { Duplex } from 'node:stream';
import * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import { type Limits, type Route, type RouteIndex, chooseDestination } from '@dogwoodstall/traffic';
import {
  type IncomingRequest,
  CallerResponder,
  NOT_READY_RETRY_MILLISECONDS,
} from './caller-responder.js';
import type { AttemptOptions } from './attempt.js';
import type { Hedging } from './hedging.js';
import { CallerConnections } from './caller-connections.js';
import { ConnectionLimiter, type DescriptorEvent } from './connection-limiter.js';
import { type ConnectionLimits, isDescriptorShortage } from './connection-limits.js';
import { ConnectionPool } from './connection-pool.js';
import { type RelayState, readRelayHeaders } from './relay.js';
import { computeFingerprint, selectForwardedHeaders } from './incoming-request.js';
import type { WireProtocol } from './wire-protocol.js';
import { type BufferedBody, readBody } from './body-buffer.js';
import { MemoryBudget } from './memory-budget.js';
import { MemoryShare } from './memory-share.js';
import { UnreadResponses } from './unread-responses.js';
import { type AttemptRecord, type RequestContext, executeRequest } from './request-execution.js';
import type { RetryBudgets, SlotSource } from './slots.js';

/** The routing and result of a request, for the log and the metrics. */
export interface RequestDecision {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  readonly configurationVersion: number;
  readonly attempts: readonly AttemptRecord[];
  readonly result: string;
  readonly status: number;
  readonly milliseconds: number;
  readonly remainingMilliseconds: number;
}

/** Options of `GatewayServer`. */
export interface GatewayServerOptions {
  readonly protocol: WireProtocol;
  readonly slots: SlotSource;
  readonly retryBudgets: RetryBudgets;
  readonly hedging: Hedging;
  /** Whether a daemon of the fleet has the given IP address; only daemons relay requests. */
  readonly isDaemon: (host: string) => boolean;
  /** Returns the active routes; undefined until configuration and endpoints are known. */
  readonly findRoutes: () => RouteIndex | undefined;
  /** Resolves when routes become active, or after the given time at the latest. */
  readonly waitForRoutes: (milliseconds: number) => Promise<void>;
  /** Maximum bytes of request bodies buffered at a time, across all requests; the same for responses. */
  readonly maximumBufferedBytes: number;
  /** Maximum bytes of request bodies and responses together. */
  readonly maximumTotalBytes: number;
  readonly connectionLimits: ConnectionLimits;
  readonly onDescriptorEvent: (event: DescriptorEvent, count: number) => void;
  /** Called with the bytes of a response that was given up because its caller did not read it before its deadline. */
  readonly onGivenUp: (bytes: number) => void;
  /** Called for each copy of an earlier response that an endpoint sent and that was removed. */
  readonly onRepeatedResponse: () => void;
  readonly onUnreadableAnnouncement: AttemptOptions['onUnreadableAnnouncement'];
  readonly onDecision: (decision: RequestDecision) => void;
  /** Called with an error of the listening server, such as one of accepting a connection. */
  readonly onServerError: (error: Error) => void;
  readonly onUnexpectedError: (requestId: string, error: unknown) => void;
}

/** Limits that apply until a configuration is known; those on headers apply throughout. */
const DEFAULT_LIMITS: Limits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headerMilliseconds: 10_000,
  idleMilliseconds: 60_000,
};
/** Subtracted from the deadline, so that the response still reaches the caller in time. */
const RESPONSE_MARGIN_MILLISECONDS = 4;
/** A newly started daemon receives the routes within this time, so that waiting saves the caller a retry. */
const ROUTES_WAIT_MILLISECONDS = 500;
/** Maximum fraction of the caller's deadline spent waiting for the routes. */
const ROUTES_WAIT_FRACTION = 0.3;
const SLOW_HEADER_CHECK_MILLISECONDS = 1000;
/** Time for a caller to read why its connection is closed, before the socket is destroyed. */
const REJECT_LINGER_MILLISECONDS = 1000;

/** Accepts requests from callers and forwards them to endpoints. */
export class GatewayServer {
  readonly pool: ConnectionPool;

  private readonly server: http.Server;

  private readonly callerConnections: CallerConnections;

  private readonly connectionLimiter: ConnectionLimiter;

  private readonly unreadResponses: UnreadResponses;

  private readonly bodyMemory: MemoryBudget;

  private readonly responseMemory: MemoryBudget;

  private readonly responder: CallerResponder;

  private stopping = false;

  private rejecting = false;

  private activeRequests = 0;

  /** End of the graceful shutdown; no request is given more time. */
  private stopEndsAt = Infinity;

  /** Aborted when the graceful shutdown is over. */
  private readonly stopAbort = new AbortController();

  constructor(private readonly options: GatewayServerOptions) {
    this.unreadResponses = new UnreadResponses(options.onGivenUp);
    const reclaim = (bytes: number): void => this.unreadResponses.reclaim(bytes);
    const total = new MemoryBudget({ maximumBytes: options.maximumTotalBytes, reclaim });
    const limit = { maximumBytes: options.maximumBufferedBytes, parent: total, reclaim };
    this.bodyMemory = new MemoryBudget(limit);
    this.responseMemory = new MemoryBudget(limit);
    this.responder = new CallerResponder(options.protocol, () => this.stopping);
    this.callerConnections = new CallerConnections(() => this.limits.idleMilliseconds);
    this.pool = new ConnectionPool({
      requestIdHeader: options.protocol.requestIdHeader,
      maximumIdleConnections: options.connectionLimits.idleEndpointConnections,
      onRepeatedResponse: options.onRepeatedResponse,
    });
    this.connectionLimiter = new ConnectionLimiter({
      limits: options.connectionLimits,
      callers: this.callerConnections,
      pool: this.pool,
      countRequests: () => this.activeRequests,
      onEvent: options.onDescriptorEvent,
    });
    this.server = this.createServer();
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.activeRequests;
  }

  /** Number of open caller connections. */
  get connections(): number {
    return this.callerConnections.size;
  }

  /** Binds the port; throws `ListenFailed`. */
  async listen(host: string, port: number): Promise<net.AddressInfo> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (cause) => {
        this.server.off('listening', resolve);
        reject(new results.FailureError('ListenFailed', cause.message, { cause }));
      });
      this.server.listen({ host, port, backlog: 1024 }, resolve);
    });
    return this.server.address() as net.AddressInfo;
  }

  /**
   * Begins a graceful shutdown that lasts for the given time: from now on, each response closes its connection, and a
   * request that can't be served in that time is refused.
   */
  beginStop(milliseconds: number): void {
    this.stopping = true;
    this.stopEndsAt = performance.now() + milliseconds;
  }

  /** Ends all requests in flight with a response that says whether they may have run. */
  abortRequests(): void {
    this.stopAbort.abort(new results.FailureError('NotReady'));
  }

  /** Stops accepting connections, rejects further requests and closes idle connections. */
  closeIdle(): void {
    this.rejecting = true;
    if (this.server.listening) {
      // `http.Server.close` would also destroy connections on which a request is still being received.
      net.Server.prototype.close.call(this.server);
    }
    this.callerConnections.closeIdle();
  }

  /** Closes the server and all connections immediately. */
  close(): void {
    this.callerConnections.close();
    this.connectionLimiter.close();
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
      // `CallerConnections` closes idle connections, since it applies configuration changes to open connections.
      keepAliveTimeout: 0,
      requireHostHeader: false,
      connectionsCheckingInterval: SLOW_HEADER_CHECK_MILLISECONDS,
      noDelay: true,
    });
    server.maxHeadersCount = 0;
    server.on('connection', (socket) => {
      this.callerConnections.track(socket);
      if (!this.connectionLimiter.admitConnection()) {
        socket.destroy();
      }
    });
    server.on('error', (error) => {
      if (isDescriptorShortage(error)) {
        this.connectionLimiter.handleShortage('accept-failed');
      }
      if (server.listening) {
        this.options.onServerError(error);
      }
    });
    server.on('request', (request, response) => {
      this.handleRequest(request, response).catch((error: unknown) => {
        this.options.onUnexpectedError('', error);
        response.destroy();
      });
    });
    server.on('connect', (_request, socket: Duplex) => this.rejectRaw(socket, 'MethodUnsupported'));
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
      this.rejectRaw(socket, proxy.classifyParserError(error.code)),
    );
    return server;
  }

  private rejectRaw(socket: Duplex, result: results.ResultName): void {
    socket.on('error', () => {
      // The caller has disconnected.
    });
    if (socket.writable) {
      this.reportUnsent(result, {});
      socket.end(proxy.formatRawFailure(results.createFailure(result), ''));
      // The HTTP server no longer watches the connection, whose caller may never close its side.
      setTimeout(() => socket.destroy(), REJECT_LINGER_MILLISECONDS).unref();
    } else {
      socket.destroy();
    }
  }

  private async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    if (this.callerConnections.isClosing(socket)) {
      socket.destroy();
      return;
    }
    this.callerConnections.beginRequest(socket);
    this.activeRequests += 1;
    response.once('close', () => {
      this.activeRequests -= 1;
      this.callerConnections.endRequest(socket);
    });
    const header = request.headers[this.options.protocol.requestIdHeader];
    const requestId = typeof header === 'string' ? header : undefined;
    const incoming = { request, response, requestId, arrivedAt: performance.now() };
    try {
      if (!(await this.connectionLimiter.admitRequest())) {
        this.refuseForDescriptors(incoming);
        return;
      }
      if (response.destroyed) {
        return;
      }
      await this.processRequest(incoming);
    } catch (error) {
      if (!(error instanceof results.FailureError)) {
        this.options.onUnexpectedError(requestId ?? '', error);
      }
      const failure = results.toFailure(error);
      this.responder.sendFailure(incoming, failure, undefined, true);
      this.reportUnsent(failure.kind, incoming);
    }
  }

  private async processRequest(incoming: IncomingRequest): Promise<void> {
    const { request, response, requestId, arrivedAt } = incoming;
    const { protocol, slots, retryBudgets, hedging } = this.options;
    const responseShare = new MemoryShare(this.responseMemory);
    response.once('close', () => responseShare.close());
    const checked = proxy.checkRequest(request);
    const routes = await this.findRoutes(request);
    if (routes === undefined || this.rejecting) {
      this.rejectNotReady(incoming);
      return;
    }
    const route = routes.find(checked.host, checked.path);
    if (route === undefined) {
      throw new results.FailureError('RouteUnknown');
    }
    const requestedMilliseconds =
      protocol.readDeadline(request.headers) ?? route.timeoutMilliseconds;
    const allowedMilliseconds = Math.min(requestedMilliseconds, route.timeoutMilliseconds);
    const deadlineAt = Math.min(
      arrivedAt + allowedMilliseconds - RESPONSE_MARGIN_MILLISECONDS,
      this.stopEndsAt,
    );
    const abortController = new AbortController();
    const onStop = (): void => abortController.abort(this.stopAbort.signal.reason);
    this.stopAbort.signal.addEventListener('abort', onStop, { once: true });
    const timer = setTimeout(
      () => abortController.abort(new results.FailureError('BackendTimeout')),
      Math.max(0, deadlineAt - performance.now()),
    );
    const onClose = (): void => abortController.abort(new results.FailureError('CallerCancelled'));
    response.once('close', onClose);
    let body: BufferedBody | undefined;
    const attempts: AttemptRecord[] = [];
    try {
      body = await readBody(request, {
        contentLength: checked.contentLength,
        maximumBytes: routes.configuration.limits.bodyBytes,
        memoryShare: new MemoryShare(this.bodyMemory),
        signal: abortController.signal,
      });
      const fingerprint = computeFingerprint(request, body.bytes);
      const relayed = readRelayHeaders(request.headers);
      const isRelayed = relayed !== undefined && this.isFromDaemon(request);
      const context: RequestContext = {
        requestId,
        service: GatewayServer.chooseService(route, isRelayed ? relayed : undefined),
        route,
        method: checked.method,
        target: request.url ?? '/',
        headers: selectForwardedHeaders(request, protocol),
        body: body.bytes,
        deadlineAt,
        fingerprint: isRelayed ? relayed.fingerprint : fingerprint,
        relayed: isRelayed ? relayed : undefined,
        mayRelay: relayed === undefined,
      };
      const requestResult = await executeRequest({
        context,
        slots,
        retryBudgets,
        hedging,
        attemptOptions: {
          pool: this.pool,
          protocol,
          responseMemory: responseShare,
          onUnreadableAnnouncement: this.options.onUnreadableAnnouncement,
        },
        onDescriptorShortage: () => this.connectionLimiter.handleShortage('connect-failed'),
        signal: abortController.signal,
        recordAttempt: (record) => attempts.push(record),
      });
      response.off('close', onClose);
      const { status, result } = this.responder.sendResult(incoming, requestResult);
      this.unreadResponses.add({ response, memoryShare: responseShare, deadlineAt });
      this.options.onDecision({
        requestId: requestId ?? '',
        route: route.name,
        service: context.service,
        configurationVersion: routes.configuration.version,
        attempts,
        result,
        status,
        milliseconds: Math.round(performance.now() - arrivedAt),
        remainingMilliseconds: Math.round(deadlineAt - performance.now()),
      });
    } finally {
      clearTimeout(timer);
      this.stopAbort.signal.removeEventListener('abort', onStop);
      response.off('close', onClose);
      body?.release();
    }
  }

  /** The daemon that relays a request has chosen its service and counts the request there. */
  private static chooseService(route: Route, relayed: RelayState | undefined): string {
    for (const { service } of route.destinations) {
      if (encodeURIComponent(service) === relayed?.service) {
        return service;
      }
    }
    return chooseDestination(route, Math.random());
  }

  /** A caller that claims to be a daemon gains nothing: its request is only kept from being relayed. */
  private isFromDaemon({ socket }: http.IncomingMessage): boolean {
    return this.options.isDaemon(socket.remoteAddress ?? '');
  }

  private async findRoutes(request: http.IncomingMessage): Promise<RouteIndex | undefined> {
    if (this.options.findRoutes() === undefined && !this.rejecting) {
      const deadlineMilliseconds = this.options.protocol.readDeadline(request.headers) ?? Infinity;
      const waitMilliseconds = Math.min(
        ROUTES_WAIT_MILLISECONDS,
        deadlineMilliseconds * ROUTES_WAIT_FRACTION,
      );
      await this.options.waitForRoutes(waitMilliseconds);
    }
    return this.options.findRoutes();
  }

  private rejectNotReady(incoming: IncomingRequest): void {
    this.responder.sendFailure(
      incoming,
      results.createFailure('NotReady'),
      NOT_READY_RETRY_MILLISECONDS,
      false,
    );
    this.reportUnsent('NotReady', incoming);
  }

  private refuseForDescriptors(incoming: IncomingRequest): void {
    Object.assign(incoming.response, { shouldKeepAlive: false });
    this.responder.sendFailure(
      incoming,
      results.createFailure('DaemonFull'),
      NOT_READY_RETRY_MILLISECONDS,
      false,
    );
    this.reportUnsent('DaemonFull', incoming);
  }

  /** Reports a request that ended before its first attempt; one that the parser rejected has no id. */
  private reportUnsent(
    result: results.ResultName,
    { requestId = '', arrivedAt }: Partial<IncomingRequest>,
  ): void {
    const now = performance.now();
    this.options.onDecision({
      requestId,
      route: '',
      service: '',
      configurationVersion: this.options.findRoutes()?.configuration.version ?? 0,
      attempts: [],
      result,
      status: results.findResult(result).httpStatus,
      milliseconds: Math.round(now - (arrivedAt ?? now)),
      remainingMilliseconds: 0,
    });
  }
}
