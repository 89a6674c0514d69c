/**
 * One connection to an endpoint, on undici's client.
 */
import type { Socket } from 'node:net';
import { Client, type Dispatcher, buildConnector } from 'undici';

/** Time to establish a connection; several round trips between zones and one lost packet in a fast network. */
export const CONNECT_MILLISECONDS = 250;
/** Idle time of a connection when the endpoint does not announce one. */
const IDLE_MILLISECONDS = 8000;
/** An announced idle time is used up to this long before its end, so that no request meets the close. */
const IDLE_MARGIN_MILLISECONDS = 1500;

const connect = buildConnector({ timeout: CONNECT_MILLISECONDS, allowH2: false });

/** A connection to one endpoint that carries one request at a time. */
export class EndpointConnection {
  /** Set when the connection broke with an error; undici passes such an end off as a regular one. */
  broken = false;

  closed = false;

  /** Whether the endpoint has ended its side; undici then takes a chunked answer for whole that is not. */
  ended = false;

  private readonly client: Client;

  private restingSince: number | undefined;

  constructor(address: string, onClosed: (connection: EndpointConnection) => void) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          this.follow(result[1]);
          callback(...result);
        }),
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      // The deadline of each request bounds both.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', () => {
      this.closed = true;
      onClosed(this);
    });
  }

  /** Notes that the last answer has ended. */
  rest(): void {
    this.restingSince = performance.now();
  }

  /** Time since the last answer; 0 for a connection that carried none. */
  get restedMilliseconds(): number {
    return this.restingSince === undefined ? 0 : performance.now() - this.restingSince;
  }

  /** Sends a request. */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(options, handler);
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.closed = true;
    this.client.destroy().catch(() => {
      // Destroying a client whose connection is already gone fails without consequences.
    });
  }

  // Without a connection, undici passes no socket at all.
  private follow(socket: Socket | null | undefined): void {
    if (socket) {
      socket.on('error', () => {
        this.broken = true;
      });
      socket.on('end', () => {
        this.ended = true;
        // libuv reports a reset that arrives together with data as the regular end; only the missing peer tells it.
        this.broken ||= socket.remoteAddress === undefined;
      });
    }
  }
}
