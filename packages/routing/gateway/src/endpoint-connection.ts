/**
 * A connection to an endpoint, based on the undici `Client`.
 */
import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { connectSocket } from './connect-socket.js';
import { ConnectionHistory } from './connection-history.js';
import { RepeatedResponseFilter } from './repeated-response-filter.js';
import { StatusLineCheck } from './status-line-check.js';

/** Keep-alive timeout for endpoints that do not announce one. */
const KEEP_ALIVE_MILLISECONDS = 8000;
/** Subtracted from an announced keep-alive timeout, so that no request is sent while the endpoint closes. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1500;

/** Options of `EndpointConnection`. */
export interface EndpointConnectionOptions {
  /** Lower-case name of the header by which a response names its request. */
  readonly requestIdHeader: string;
  /** Called for each copy of an earlier response that is removed. */
  readonly onRepeatedResponse: () => void;
  /** Called when an established connection has ended. */
  readonly onClosed: (connection: EndpointConnection) => void;
  /** Called when the connection takes a descriptor, and when it no longer does. */
  readonly onSocketOpened: () => void;
  readonly onSocketClosed: () => void;
}

let lastNumber = 0;

/** A connection to one endpoint that carries one request at a time. */
export class EndpointConnection {
  /** Distinguishes the connections of this process in the log. */
  readonly number: number;

  /** Number of requests that were sent on the connection. */
  requests = 0;

  readonly history = new ConnectionHistory();

  private readonly filter: RepeatedResponseFilter;

  private readonly statusLineCheck = new StatusLineCheck();

  /** Whether the connection failed with an error; undici reports such a failure as a regular end of the response. */
  broken = false;

  closed = false;

  /** Whether the endpoint has closed its side; undici then treats a truncated chunked response as complete. */
  endedByEndpoint = false;

  private readonly client: Client;

  private idleSince: number | undefined;

  private socket: Socket | undefined;

  constructor(
    address: string,
    private readonly options: EndpointConnectionOptions,
  ) {
    lastNumber += 1;
    this.number = lastNumber;
    this.filter = new RepeatedResponseFilter({
      history: this.history,
      requestIdHeader: options.requestIdHeader,
      onRemoved: options.onRepeatedResponse,
    });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (connectOptions, callback) => {
        options.onSocketOpened();
        connectSocket(connectOptions, (...outcome) => {
          this.watchSocket(outcome[1]);
          callback(...outcome);
        });
      },
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      // The deadline of each request bounds both phases.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', () => {
      this.closed = true;
      options.onClosed(this);
    });
  }

  /** Starts the idle time of the connection. */
  markIdle(): void {
    this.idleSince = performance.now();
  }

  /** Time since the last response; 0 for a connection that has not carried one. */
  get idleMilliseconds(): number {
    return this.idleSince === undefined ? 0 : performance.now() - this.idleSince;
  }

  /** Sends a request; its id is the one by which its response is recognised. */
  dispatch(
    requestId: string | undefined,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    if (this.requests > 0) {
      this.filter.expectResponse();
    }
    this.statusLineCheck.expectResponse();
    this.requests += 1;
    this.history.add({ requestId, method: options.method });
    this.client.dispatch(options, handler);
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.closed = true;
    this.client.destroy().catch(() => {
      // Rejects when the connection is already closed, which is harmless.
    });
    this.forgetSocket();
  }

  /** Undici reads a socket by calling its `read`. */
  private filterResponses(socket: Socket): void {
    const read = socket.read.bind(socket) as () => Buffer | null;
    const readFiltered = (): Buffer | null => {
      for (let chunk = read(); chunk !== null; chunk = read()) {
        const rest = this.filter.filter(chunk);
        if (!this.statusLineCheck.accepts(rest)) {
          socket.destroy(new Error('response has an impossible status'));
          return null;
        }
        if (rest.length > 0) {
          return rest;
        }
      }
      return null;
    };
    Object.assign(socket, { read: readFiltered });
  }

  private forgetSocket(): void {
    if (this.socket !== undefined) {
      this.socket = undefined;
      this.options.onSocketClosed();
    }
  }

  // When connecting fails, undici passes no socket.
  private watchSocket(socket: Socket | null | undefined): void {
    if (socket) {
      this.socket = socket;
      this.filterResponses(socket);
      socket.once('close', () => this.forgetSocket());
      socket.on('error', () => {
        this.broken = true;
      });
      socket.on('end', () => {
        this.endedByEndpoint = true;
        // libuv reports a reset that arrives with data as a regular end; only the missing remote address reveals it.
        this.broken ||= socket.remoteAddress === undefined;
      });
    } else {
      this.options.onSocketClosed();
    }
  }
}
