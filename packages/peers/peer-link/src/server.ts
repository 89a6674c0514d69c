/**
 * The peer port: an HTTPS server with mutual TLS for calls and forwarded requests of other daemons.
 */
import { once } from 'node:events';
import type * as http from 'node:http';
import * as https from 'node:https';
import type * as net from 'node:net';
import * as tls from 'node:tls';
import { FailureError } from '@dogwoodstall/results';
import { handleCall } from './call-handler.js';
import { MINIMUM_TLS_VERSION, readSubjectName, type PeerTls } from './identity.js';
import type { Caller, PeerHandlers } from './messages.js';
import { createPeerCaller, type PeerCaller } from './router.js';

const CALL_PREFIX = '/trpc/';
const FORWARD_PREFIX = '/forward/';
const HEADERS_MILLISECONDS = 10_000;
// Longer than the keep-alive timeout of the client, so that the client closes idle connections.
const KEEP_ALIVE_MILLISECONDS = 90_000;
const HTTP_NOT_FOUND = 404;

/** Handles a forwarded request. */
export type ForwardHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  caller: Caller,
) => void;

/** Traffic of the peer port since the start. */
export interface PeerTraffic {
  /** Calls received from other daemons. */
  readonly calls: number;
  /** Bytes on connections opened by other daemons, including TLS records and handshakes. */
  readonly receivedBytes: number;
  readonly sentBytes: number;
  readonly connections: number;
}

/** Options of the peer server. */
export interface PeerServerOptions {
  readonly tls: PeerTls;
  /** Read at each call, so that components can register handlers after the server was created. */
  readonly handlers: Partial<PeerHandlers>;
  readonly forward?: ForwardHandler;
  /** Called for each request with the name of the calling daemon. */
  readonly onRequest?: (name: string) => void;
}

function toSecureContextOptions(credentials: PeerTls): tls.SecureContextOptions {
  return {
    cert: credentials.certificate,
    key: credentials.key,
    ca: [...credentials.authorities],
    minVersion: MINIMUM_TLS_VERSION,
  };
}

function getCaller(request: http.IncomingMessage): Caller {
  const { socket } = request;
  const certificate = socket instanceof tls.TLSSocket ? socket.getPeerCertificate() : undefined;
  return { name: readSubjectName(certificate) };
}

interface Connection {
  readonly caller: Caller;
  readonly calls: PeerCaller;
}

/** The HTTPS server of the peer port. */
export class PeerServer {
  private readonly options: PeerServerOptions;

  private readonly server: https.Server;

  private readonly connections = new WeakMap<object, Connection>();

  private readonly sockets = new Set<net.Socket>();

  private readonly closedTraffic = { receivedBytes: 0, sentBytes: 0 };

  private accepted = 0;

  private calls = 0;

  constructor(options: PeerServerOptions) {
    this.options = options;
    this.server = https.createServer(
      {
        ...toSecureContextOptions(options.tls),
        requestCert: true,
        rejectUnauthorized: true,
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        headersTimeout: HEADERS_MILLISECONDS,
        // Forwarded uploads may last longer than any fixed timeout; the forward handler detects stalls.
        requestTimeout: 0,
      },
      (request, response) => this.handle(request, response),
    );
    this.server.on('connection', (socket: net.Socket) => this.countBytes(socket));
    this.server.on('tlsClientError', (_error, socket) => socket.destroy());
  }

  /** Binds the port and returns the bound address; throws `ListenFailed`. */
  async listen(host: string, port: number): Promise<string> {
    try {
      this.server.listen(port, host);
      await once(this.server, 'listening');
    } catch (error) {
      throw new FailureError('ListenFailed', `${host}:${port}`, { cause: error });
    }
    const bound = this.server.address() as net.AddressInfo;
    return bound.family === 'IPv6'
      ? `[${bound.address}]:${bound.port}`
      : `${bound.address}:${bound.port}`;
  }

  /** Traffic since the start, including open connections. */
  get traffic(): PeerTraffic {
    let { receivedBytes, sentBytes } = this.closedTraffic;
    for (const socket of this.sockets) {
      receivedBytes += socket.bytesRead;
      sentBytes += socket.bytesWritten;
    }
    return { calls: this.calls, receivedBytes, sentBytes, connections: this.accepted };
  }

  /** Replaces the credentials for new connections. */
  reload(credentials: PeerTls): void {
    this.server.setSecureContext(toSecureContextOptions(credentials));
  }

  /** Stops accepting and resolves when running requests have ended and connections are closed. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeIdleConnections();
    await closed;
  }

  /** Closes every connection immediately. */
  async destroy(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }

  private countBytes(socket: net.Socket): void {
    this.accepted += 1;
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closedTraffic.receivedBytes += socket.bytesRead;
      this.closedTraffic.sentBytes += socket.bytesWritten;
    });
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = request.url ?? '';
    const { caller, calls } = this.getConnection(request);
    this.options.onRequest?.(caller.name);
    if (url.startsWith(CALL_PREFIX)) {
      this.calls += 1;
      handleCall(url.slice(CALL_PREFIX.length), request, response, calls).catch(() =>
        response.destroy(),
      );
    } else if (url.startsWith(FORWARD_PREFIX) && this.options.forward !== undefined) {
      this.options.forward(request, response, caller);
    } else {
      response.writeHead(HTTP_NOT_FOUND).end();
    }
  }

  // Decoding the certificate costs more than a call, so it is done once per connection.
  private getConnection(request: http.IncomingMessage): Connection {
    const known = this.connections.get(request.socket);
    if (known !== undefined) {
      return known;
    }
    const caller = getCaller(request);
    const calls = createPeerCaller({ caller, handlers: this.options.handlers });
    const connection = { caller, calls };
    this.connections.set(request.socket, connection);
    return connection;
  }
}
