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
    this.sockets.set(socket, { requests: 0, idleSince: performance.now(), bytesAtRest: 0 });
    socket.once('close', () => this.sockets.delete(socket));
  };

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
    for (const [socket, { requests, idleSince, bytesAtRest }] of this.sockets) {
      if (requests === 0 && idleSince < limit && socket.bytesRead === bytesAtRest) {
        socket.end();
        // A request that crosses the close must fail at once, so that its caller sends it elsewhere.
        setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
      }
    }
  }
}
