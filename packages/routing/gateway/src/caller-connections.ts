/**
 * Tracks caller connections and closes idle ones after the configured idle timeout and during a graceful shutdown.
 */
import type { Socket } from 'node:net';

const SWEEP_MILLISECONDS = 500;
/** Added to the configured timeout, so that a request sent just before it expires is still accepted. */
const IDLE_MARGIN_MILLISECONDS = 1000;

/** Time allowed for the caller to close its side before the socket is destroyed. */
const LINGER_MILLISECONDS = 100;

interface CallerConnection {
  requests: number;
  idleSince: number;
  /** `bytesRead` when the last request ended; a higher value means that another request has begun to arrive. */
  bytesAtRest: number;
  /** Whether the gateway has closed its side; a request that was in transit at that time must not be run. */
  closing: boolean;
}

/** Tracks the connections of one server. */
export class CallerConnections {
  private readonly sockets = new Map<Socket, CallerConnection>();

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly idleMilliseconds: () => number) {
    this.timer = setInterval(() => this.sweep(), SWEEP_MILLISECONDS);
    this.timer.unref();
  }

  get size(): number {
    return this.sockets.size;
  }

  /** Starts tracking a connection. */
  readonly add = (socket: Socket): void => {
    this.sockets.set(socket, {
      requests: 0,
      idleSince: performance.now(),
      bytesAtRest: 0,
      closing: false,
    });
    socket.once('close', () => this.sockets.delete(socket));
  };

  /** Whether the gateway has closed its side of a connection. */
  isClosing(socket: Socket): boolean {
    return this.sockets.get(socket)?.closing ?? true;
  }

  /** Counts a request that has begun on a connection. */
  enter(socket: Socket): void {
    const entry = this.sockets.get(socket);
    if (entry !== undefined) {
      entry.requests += 1;
    }
  }

  /** Counts a request as ended and restarts the idle time of its connection. */
  leave(socket: Socket): void {
    const entry = this.sockets.get(socket);
    if (entry !== undefined) {
      entry.requests -= 1;
      entry.idleSince = performance.now();
      entry.bytesAtRest = socket.bytesRead;
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

  private sweep(): void {
    this.closeIdleSince(performance.now() - this.idleMilliseconds() - IDLE_MARGIN_MILLISECONDS);
  }

  private closeIdleSince(limit: number): void {
    for (const [socket, entry] of this.sockets) {
      const isResting = entry.requests === 0 && socket.bytesRead === entry.bytesAtRest;
      if (isResting && entry.idleSince < limit && !entry.closing) {
        entry.closing = true;
        socket.end();
        // A request in transit during the close must fail at once, so that its caller can send it elsewhere.
        setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
      }
    }
  }
}
