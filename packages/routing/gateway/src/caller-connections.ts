/**
 * Tracks caller connections and closes idle ones: after the configured idle timeout, during a graceful shutdown, and to
 * free their descriptors.
 */
import type { Socket } from 'node:net';

const IDLE_CHECK_MILLISECONDS = 500;
/** Added to the configured timeout, so that a request sent just before it expires is still accepted. */
const IDLE_MARGIN_MILLISECONDS = 1000;

/** Time allowed for the caller to close its side before the socket is destroyed. */
const LINGER_MILLISECONDS = 100;

/** Time from noticing an incomplete head, after which it gives way to other callers when descriptors are short. */
const SLOW_HEAD_MILLISECONDS = 1000;

interface CallerConnection {
  requests: number;
  idleSince: number;
  /** `bytesRead` when the last request ended; a higher value means that another request has begun to arrive. */
  bytesReadWhenIdle: number;
  /** When it was noticed that a request has begun to arrive whose head is not complete. */
  headNoticedAt: number | undefined;
  /** Whether the gateway has closed its side; a request that was in transit at that time must not be run. */
  closing: boolean;
}

function hasBegun(socket: Socket, { bytesReadWhenIdle }: CallerConnection): boolean {
  return socket.bytesRead !== bytesReadWhenIdle;
}

/** Tracks the connections of one server. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Connections that have carried no request, the oldest first. */
  private readonly unused = new Set<Socket>();

  /** Connections between two requests, those that have been idle longest first. */
  private readonly kept = new Set<Socket>();

  private readonly slowHeads = new Set<Socket>();

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly idleMilliseconds: () => number) {
    this.timer = setInterval(() => this.checkIdle(), IDLE_CHECK_MILLISECONDS);
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
      headNoticedAt: undefined,
      closing: false,
    });
    this.unused.add(socket);
    socket.once('close', () => this.forget(socket));
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
      connection.headNoticedAt = undefined;
      this.unlist(socket);
    }
  }

  /** Counts a request as ended and restarts the idle time of its connection. */
  endRequest(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests -= 1;
      connection.idleSince = performance.now();
      connection.bytesReadWhenIdle = socket.bytesRead;
      if (connection.requests === 0) {
        this.kept.add(socket);
      }
    }
  }

  /** Closes the connections on which no request has begun to arrive. */
  closeIdle(): void {
    this.closeIdleSince(Infinity);
  }

  /**
   * Closes up to the given number of idle connections at once, so that their descriptors are free: those that have
   * carried no request first, then those that have been idle longest. Returns how many it has closed.
   */
  closeLongestIdle(count: number, minimumMilliseconds: number): number {
    const closed = this.closeOldest(this.unused, count, minimumMilliseconds);
    return closed + this.closeOldest(this.kept, count - closed, minimumMilliseconds);
  }

  /** Closes up to the given number of connections on which a head has been incomplete for long; returns how many. */
  closeSlowHeads(count: number): number {
    let closed = 0;
    for (const socket of this.slowHeads) {
      if (closed >= count) {
        break;
      }
      this.destroy(socket);
      closed += 1;
    }
    return closed;
  }

  /** Stops the periodic check for idle connections. */
  close(): void {
    clearInterval(this.timer);
  }

  private closeOldest(sockets: Set<Socket>, count: number, minimumMilliseconds: number): number {
    const cutoff = performance.now() - minimumMilliseconds;
    let closed = 0;
    for (const socket of sockets) {
      const connection = this.connections.get(socket);
      if (closed >= count || connection === undefined || connection.idleSince > cutoff) {
        break;
      }
      if (!hasBegun(socket, connection)) {
        this.destroy(socket);
        closed += 1;
      }
    }
    return closed;
  }

  private checkIdle(): void {
    this.closeIdleSince(performance.now() - this.idleMilliseconds() - IDLE_MARGIN_MILLISECONDS);
    const now = performance.now();
    for (const sockets of [this.unused, this.kept]) {
      for (const socket of sockets) {
        const connection = this.connections.get(socket);
        if (connection !== undefined && hasBegun(socket, connection)) {
          connection.headNoticedAt ??= now;
          if (now - connection.headNoticedAt >= SLOW_HEAD_MILLISECONDS) {
            this.slowHeads.add(socket);
          }
        }
      }
    }
  }

  private closeIdleSince(cutoff: number): void {
    for (const [socket, connection] of this.connections) {
      const isIdle = connection.requests === 0 && !hasBegun(socket, connection);
      if (isIdle && connection.idleSince < cutoff && !connection.closing) {
        connection.closing = true;
        socket.end();
        // A request in transit during the close must fail at once, so that its caller can send it elsewhere.
        setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
      }
    }
  }

  // The descriptor is free on return, while the `close` event comes later.
  private destroy(socket: Socket): void {
    this.forget(socket);
    socket.destroy();
  }

  private forget(socket: Socket): void {
    this.connections.delete(socket);
    this.unlist(socket);
  }

  private unlist(socket: Socket): void {
    this.unused.delete(socket);
    this.kept.delete(socket);
    this.slowHeads.delete(socket);
  }
}
