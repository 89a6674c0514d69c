/**
 * The connections of callers: those without a request are closed when the configured idle time is over, and at a
 * planned stop.
 */
import type { Socket } from 'node:net';

const SWEEP_MILLISECONDS = 500;
/** Beyond the configured time, for requests that callers send just before its end. */
const IDLE_MARGIN_MILLISECONDS = 1000;

/** Time that a caller gets to close its own side. */
const LINGER_MILLISECONDS = 100;

interface CallerSocket {
  requests: number;
  idleSince: number;
  /** Bytes that had arrived when the last request ended; more of them begin another request. */
  bytesAtRest: number;
  /** Whether this side has closed the connection; a request that crosses the close must not be run. */
  closing: boolean;
}

/** Follows the connections of one server. */
export class CallerSockets {
  private readonly sockets = new Map<Socket, CallerSocket>();

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly idleMilliseconds: () => number) {
    this.timer = setInterval(() => this.sweep(), SWEEP_MILLISECONDS);
    this.timer.unref();
  }

  get size(): number {
    return this.sockets.size;
  }

  /** Follows a new connection. */
  readonly add = (socket: Socket): void => {
    this.sockets.set(socket, {
      requests: 0,
      idleSince: performance.now(),
      bytesAtRest: 0,
      closing: false,
    });
    socket.once('close', () => this.sockets.delete(socket));
  };

  /** Whether this side has closed a connection. */
  isClosing(socket: Socket): boolean {
    return this.sockets.get(socket)?.closing ?? true;
  }

  /** Notes that a request has begun. */
  enter(socket: Socket): void {
    const entry = this.sockets.get(socket);
    if (entry !== undefined) {
      entry.requests += 1;
    }
  }

  /** Notes that a request has ended. */
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

  /** Ends the sweep. */
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
        // A request that crosses the close must fail at once, so that its caller sends it elsewhere.
        setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
      }
    }
  }
}
