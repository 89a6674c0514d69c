/**
 * The caller port: request admission, issue of idempotency keys, readiness, TLS and graceful shutdown.
 */
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import * as http from 'node:http';
import * as https from 'node:https';
import * as net from 'node:net';
import type { Duplex } from 'node:stream';
import type { Configuration } from '@dogwoodstall/model';
import { type Failure, FailureError, createFailure, reportViolation } from '@dogwoodstall/results';
import { formatRawFailure } from './failure-response.js';
import { BodyStallDetector } from './body-stall-detector.js';
import { CallerAdmission, type CallerAdmissionOptions, isKeyRequest } from './caller-admission.js';
import { CallerConnections } from './caller-connections.js';
import { EntryLimiter, type EntryReservation } from './entry-limiter.js';
import type { ExchangeServer } from './exchange-server.js';
import { classifyParserError } from './request-check.js';
import type { RequestRouter } from './request-router.js';

/** Readiness endpoint for the platform's load balancer. */
export const READY_PATH = '/.well-known/dogwoodstall/ready';

/** Certificate and private key in PEM. */
export interface TlsCredentials {
  readonly certificate: string | Buffer;
  readonly key: string | Buffer;
}

/** Limits on callers; the fields are named like the settings. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly headerMilliseconds: number;
  readonly bodyPauseMilliseconds: number;
  readonly callerConnections: number;
  readonly requestsInFlight: number;
}

/** Options of `EntryServer`. */
export interface EntryServerOptions extends Omit<CallerAdmissionOptions, 'requestPrefix'> {
  readonly server: ExchangeServer;
  readonly router: RequestRouter;
  readonly limits: CallerLimits;
  readonly tls?: TlsCredentials | undefined;
  /** Whether the daemon has a usable configuration and is not leaving the fleet. */
  readonly isReady: () => boolean;
  readonly findConfiguration: () => Configuration | undefined;
  /** Time from the first failing readiness check until the port closes. */
  readonly balancerMilliseconds: number;
  /** Idle timeout of a connection, as announced in responses; 5000 by default. */
  readonly keepAliveMilliseconds?: number;
}

const PREFIX_BYTES = 6;
const KEEP_ALIVE_MILLISECONDS = 5000;
const MINIMUM_CHECK_MILLISECONDS = 50;
const CHECKS_PER_TIMEOUT = 4;

/** Serves callers. */
export class EntryServer {
  private readonly listener: http.Server | https.Server;

  private readonly admission: CallerAdmission;

  private readonly stallDetector: BodyStallDetector;

  private readonly connections: CallerConnections;

  private readonly limiter: EntryLimiter;

  private closed = false;

  private readonly portClosed = new AbortController();

  private stopTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EntryServerOptions) {
    this.connections = new CallerConnections(this.keepAliveMilliseconds);
    const requestPrefix = randomBytes(PREFIX_BYTES).toString('hex');
    this.admission = new CallerAdmission({ ...options, requestPrefix });
    this.stallDetector = new BodyStallDetector(options.limits.bodyPauseMilliseconds);
    this.limiter = new EntryLimiter(options.limits.requestsInFlight);
    this.listener = this.createListener();
  }

  /** Starts to listen; rejects with `ListenFailed`. Port 0 selects a free port. */
  async listen(host: string, port: number): Promise<net.AddressInfo> {
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', (cause) =>
        reject(new FailureError('ListenFailed', cause.message, { cause })),
      );
      this.listener.listen(port, host, resolve);
    });
    return this.listener.address() as net.AddressInfo;
  }

  /** Replaces the certificate for new connections. */
  reloadTls(credentials: TlsCredentials): void {
    if (this.listener instanceof https.Server) {
      this.listener.setSecureContext({ cert: credentials.certificate, key: credentials.key });
    }
  }

  /**
   * Starts graceful shutdown: readiness fails, connections close with their next response, and idle
   * ones after the announced timeout. The port closes after `balancerMilliseconds`.
   */
  beginStop(): void {
    if (this.options.server.stopping) {
      return;
    }
    this.options.server.beginStop();
    this.connections.beginStop();
    this.stopTimer = setTimeout(() => this.stopAccepting(), this.options.balancerMilliseconds);
  }

  /** Resolves once shutdown has started and all requests and connections have ended; has no timeout. */
  async whenIdle(): Promise<void> {
    if (!this.portClosed.signal.aborted) {
      await once(this.portClosed.signal, 'abort');
    }
    await this.connections.whenClosed();
    await this.options.server.inFlight.whenIdle();
  }

  /** Closes everything immediately; reports an invariant violation if requests are in flight. */
  close(): void {
    const { count } = this.options.server.inFlight;
    if (count > 0) {
      reportViolation('RequestCutByStop', `${count} requests were in flight`);
    }
    clearTimeout(this.stopTimer);
    this.stopAccepting();
    this.stallDetector.close();
    this.connections.close();
    this.listener.closeAllConnections();
  }

  private get keepAliveMilliseconds(): number {
    return this.options.keepAliveMilliseconds ?? KEEP_ALIVE_MILLISECONDS;
  }

  private stopAccepting(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    // Closes only the port. `http.Server.close` would also destroy connections on which a request may
    // be arriving; those close with their next response.
    net.Server.prototype.close.call(this.listener);
    this.portClosed.abort();
  }

  private createListener(): http.Server | https.Server {
    const { limits, tls } = this.options;
    const checkInterval = Math.floor(limits.headerMilliseconds / CHECKS_PER_TIMEOUT);
    const options: http.ServerOptions = {
      insecureHTTPParser: false,
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerMilliseconds,
      requestTimeout: 0,
      // `checkRequest` rejects a missing host with a result code, which the parser's response lacks.
      requireHostHeader: false,
      connectionsCheckingInterval: Math.max(MINIMUM_CHECK_MILLISECONDS, checkInterval),
      noDelay: true,
    };
    const listener =
      tls === undefined
        ? http.createServer(options)
        : https.createServer({ ...options, cert: tls.certificate, key: tls.key });
    listener.maxConnections = limits.callerConnections;
    listener.keepAliveTimeout = this.keepAliveMilliseconds;
    // A limit on the count would drop excess headers silently; `maxHeaderSize` already bounds them.
    listener.maxHeadersCount = 0;
    listener.on(tls === undefined ? 'connection' : 'secureConnection', this.connections.add);
    listener.on('request', this.onRequest);
    // Admission sends 100 Continue once the request is validated.
    listener.on('checkContinue', this.onRequest);
    listener.on('checkExpectation', this.onRequest);
    listener.on('connect', (_request, socket: Duplex) =>
      this.rejectRawConnection(socket, createFailure('MethodUnsupported')),
    );
    listener.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
      this.rejectRawConnection(socket, createFailure(classifyParserError(error.code))),
    );
    return listener;
  }

  private readonly onRequest = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void => {
    const { socket } = request;
    this.connections.startRequest(socket);
    response.once('close', () => this.connections.finishRequest(socket));
    if (request.url === READY_PATH) {
      this.respondWithReadiness(response);
      return;
    }
    const requestId = this.admission.nextRequestId();
    const { server } = this.options;
    let reservation: EntryReservation | undefined;
    const work = async (): Promise<void> => {
      reservation = this.limiter.reserve();
      await this.serve(request, response, requestId, reservation);
    };
    // `track` sends every failure response itself and never rejects.
    server
      .track(response, requestId, work)
      .then(() => reservation?.release())
      .catch(() => {});
  };

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
    reservation: EntryReservation,
  ): Promise<void> {
    if (isKeyRequest(request)) {
      this.admission.respondWithKeys(request, response, requestId);
      return;
    }
    const { server, router } = this.options;
    const caller = { request, response, requestId, reservation };
    const exchange = await this.admission.openExchange(caller, this.stallDetector);
    await server.run(
      exchange,
      (opened) => router.serve(opened),
      (failure) => this.admission.listExtraHeaders(exchange, failure),
    );
  }

  private respondWithReadiness(response: http.ServerResponse): void {
    const ready = !this.options.server.stopping && this.options.isReady();
    if (this.options.server.stopping) {
      Object.assign(response, { shouldKeepAlive: false });
    }
    response.writeHead(ready ? 200 : 503, { 'Content-Type': 'text/plain' });
    response.end(ready ? 'ready\n' : 'not ready\n');
  }

  private rejectRawConnection(socket: Duplex, failure: Failure): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.on('error', () => {});
    socket.end(formatRawFailure(failure, this.admission.nextRequestId()));
  }
}
