/**
 * Tracks caller connections and closes idle ones after the configured idle timeout and during a graceful shutdown.
 */
import type { Socket } from 'node:net';

const IDLE_CHECK_MILLISECONDS = 500;
/** Added to the configured timeout, so that a request sent just before it expires is still accepted. */
const IDLE_MARGIN_MILLISECONDS = 1000;

/** Time allowed for the caller to close its side before the socket is destroyed. */
const LINGER_MILLISECONDS = 100;

interface CallerConnection {
  requests: number;
  idleSince: number;
  /** `bytesRead` when the last request ended; a higher value means that another request has begun to arrive. */
  bytesReadWhenIdle: number;
  /** Whether the gateway has closed its side; a request that was in transit at that time must not be run. */
  closing: boolean;
}

/** Tracks the connections of one server. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly idleMilliseconds: () => number) {
    this.timer = setInterval(() => this.closeExpired(), IDLE_CHECK_MILLISECONDS);
    this.timer.unref();
  }

  get size(): number {
    return this.connections.size;
  }

  /** Starts tracking a connection. */
  readonly track = (socket: Socket): void => {
    this.connections.set(socket, {
      requests: 0,
      idleSince: performance.now(),
      bytesReadWhenIdle: 0,
      closing: false,
    });
    socket.once('close', () => this.connections.delete(socket));
  };

  /** Whether the gateway has closed its side of a connection. */
  isClosing(socket: Socket): boolean {
    return this.connections.get(socket)?.closing ?? true;
  }

  /** Counts a request that has begun on a connection. */
  beginRequest(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests += 1;
    }
  }

  /** Counts a request as ended and restarts the idle time of its connection. */
  endRequest(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests -= 1;
      connection.idleSince = performance.now();
      connection.bytesReadWhenIdle = socket.bytesRead;
    }
  }

  /** Closes the connections on which no request has begun to arrive. */
  closeIdle(): void {
    this.closeIdleSince(Infinity);
  }

  /** Stops the periodic check for idle connections. */
  close(): void {
    clearInterval(this.timer);
  }

  private closeExpired(): void {
    this.closeIdleSince(performance.now() - this.idleMilliseconds() - IDLE_MARGIN_MILLISECONDS);
  }

  private closeIdleSince(cutoff: number): void {
    for (const [socket, connection] of this.connections) {
      const isIdle = connection.requests === 0 && socket.bytesRead === connection.bytesReadWhenIdle;
      if (isIdle && connection.idleSince < cutoff && !connection.closing) {
        connection.closing = true;
        socket.end();
        // A request in transit during the close must fail at once, so that its caller can send it elsewhere.
        setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
      }
    }
  }
}
