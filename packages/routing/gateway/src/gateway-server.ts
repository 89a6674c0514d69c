/**
 * The HTTP server that accepts connections and requests of callers, within the limits of descriptors and memory, and
 * shuts down gracefully.
 */
import { setMaxListeners } from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import type { Duplex } from 'node:stream';
import * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import type { Limits } from '@dogwoodstall/traffic';
import {
  type IncomingRequest,
  CallerResponder,
  NOT_READY_RETRY_MILLISECONDS,
} from './caller-responder.js';
import { CallerConnections } from './caller-connections.js';
import { ConnectionLimiter, type DescriptorEvent } from './connection-limiter.js';
import { type ConnectionLimits, isDescriptorShortage } from './connection-limits.js';
import { ConnectionPool } from './connection-pool.js';
import { MemoryBudget } from './memory-budget.js';
import { UnreadResponses } from './unread-responses.js';
import { RequestLifetime } from './request-lifetime.js';
import { type RequestOptions, RequestProcessor } from './request-processor.js';

/** Options of `GatewayServer`. */
export interface GatewayServerOptions extends RequestOptions {
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
const SLOW_HEADER_CHECK_MILLISECONDS = 1000;
/** Time for a caller to read why its connection is closed, before the socket is destroyed. */
const REJECT_LINGER_MILLISECONDS = 1000;

/** Accepts requests from callers and forwards them to endpoints. */
export class GatewayServer {
  readonly pool: ConnectionPool;

  private readonly server: http.Server;

  private readonly callerConnections: CallerConnections;

  private readonly connectionLimiter: ConnectionLimiter;

  private readonly processor: RequestProcessor;

  private readonly responder: CallerResponder;

  private stopping = false;

  private rejecting = false;

  private activeRequests = 0;

  /** End of the graceful shutdown; no request is given more time. */
  private stopEndsAt = Infinity;

  /** Aborted when the graceful shutdown is over. */
  private readonly stopAbort = new AbortController();

  constructor(private readonly options: GatewayServerOptions) {
    const unreadResponses = new UnreadResponses(options.onGivenUp);
    const reclaim = (bytes: number): void => unreadResponses.reclaim(bytes);
    const total = new MemoryBudget({ maximumBytes: options.maximumTotalBytes, reclaim });
    const limit = { maximumBytes: options.maximumBufferedBytes, parent: total, reclaim };
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
    this.processor = new RequestProcessor(options, {
      responder: this.responder,
      pool: this.pool,
      bodyMemory: new MemoryBudget(limit),
      responseMemory: new MemoryBudget(limit),
      unreadResponses,
      onDescriptorShortage: () => this.connectionLimiter.handleShortage('connect-failed'),
      isRejecting: () => this.rejecting,
      stopEndsAt: () => this.stopEndsAt,
    });
    // Each request in flight listens.
    setMaxListeners(0, this.stopAbort.signal);
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
      // Each of the requests that a caller has sent on one connection listens.
      socket.setMaxListeners(0);
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
      this.processor.reportUnsent(result, {});
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
    const lifetime = new RequestLifetime({ request, response, stopSignal: this.stopAbort.signal });
    lifetime.onceClosed(() => {
      this.activeRequests -= 1;
      this.callerConnections.endRequest(socket);
    });
    const header = request.headers[this.options.protocol.requestIdHeader];
    const requestId = typeof header === 'string' ? header : undefined;
    const arrivedAt = performance.now();
    const incoming = { request, response, requestId, arrivedAt, lifetime };
    try {
      if (!(await this.connectionLimiter.admitRequest())) {
        this.refuseForDescriptors(incoming);
        return;
      }
      lifetime.throwIfEnded();
      await this.processor.process(incoming);
    } catch (error) {
      if (!(error instanceof results.FailureError)) {
        this.options.onUnexpectedError(requestId ?? '', error);
      }
      const failure = results.toFailure(error);
      this.responder.sendFailure(incoming, failure, undefined, true);
      this.processor.reportUnsent(failure.kind, incoming);
    } finally {
      lifetime.end();
    }
  }

  private refuseForDescriptors(incoming: IncomingRequest): void {
    Object.assign(incoming.response, { shouldKeepAlive: false });
    this.responder.sendFailure(
      incoming,
      results.createFailure('DaemonFull'),
      NOT_READY_RETRY_MILLISECONDS,
      false,
    );
    this.processor.reportUnsent('DaemonFull', incoming);
  }
}
