/**
 * Tracks caller connections and closes them during graceful shutdown. An idle keep-alive connection is
 * closed only after the timeout announced in `Keep-Alive: timeout`. An earlier FIN could cross a
 * request in transit, which would then get no response.
 */
import type * as net from 'node:net';

const SWEEP_MILLISECONDS = 50;
/** Margin after the announced timeout for requests that were sent just before it expired. */
const IDLE_MARGIN_MILLISECONDS = 500;
/** Time for a caller to close its side after the FIN. */
const LINGER_MILLISECONDS = 1000;

interface Connection {
  requests: number;
  /** Bytes received when the last request ended; further bytes belong to a new request. */
  bytesWhenIdle: number;
  idleSince: number;
  finSentAt: number | undefined;
}

/** The open connections of one server. */
export class CallerConnections {
  private readonly connections = new Map<net.Socket, Connection>();

  private timer: NodeJS.Timeout | undefined;

  private waiters: (() => void)[] = [];

  /** `keepAliveMilliseconds` is the idle timeout that responses announce to callers. */
  constructor(private readonly keepAliveMilliseconds: number) {}

  /** Tracks a connection until it is closed. */
  readonly add = (socket: net.Socket): void => {
    this.connections.set(socket, {
      requests: 0,
      bytesWhenIdle: socket.bytesRead,
      idleSince: performance.now(),
      finSentAt: undefined,
    });
    // Each of the requests that a caller has sent on one connection listens.
    socket.setMaxListeners(0);
    socket.once('close', () => this.remove(socket));
  };

  /** Records that a request has started on a connection. */
  startRequest(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests += 1;
    }
  }

  /** Records that the response to a request has been sent. */
  finishRequest(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests -= 1;
      connection.bytesWhenIdle = socket.bytesRead;
      connection.idleSince = performance.now();
    }
  }

  /** Starts to close idle connections. */
  beginStop(): void {
    if (this.timer !== undefined) {
      return;
    }
    const now = performance.now();
    for (const connection of this.connections.values()) {
      connection.idleSince = now;
    }
    this.timer = setInterval(this.closeIdle, SWEEP_MILLISECONDS);
  }

  /** Resolves when all connections are closed. */
  whenClosed(): Promise<void> {
    if (this.connections.size === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /** Stops closing idle connections. */
  close(): void {
    clearInterval(this.timer);
  }

  private readonly closeIdle = (): void => {
    const now = performance.now();
    for (const [socket, connection] of this.connections) {
      const arriving = socket.bytesRead !== connection.bytesWhenIdle;
      if (connection.finSentAt !== undefined) {
        if (now - connection.finSentAt > LINGER_MILLISECONDS) {
          socket.destroy();
        }
      } else if (connection.requests === 0 && !arriving) {
        this.closeIfExpired(socket, connection, now);
      }
    }
  };

  private closeIfExpired(socket: net.Socket, connection: Connection, now: number): void {
    if (now - connection.idleSince >= this.keepAliveMilliseconds + IDLE_MARGIN_MILLISECONDS) {
      Object.assign(connection, { finSentAt: now });
      socket.end();
    }
  }

  private remove(socket: net.Socket): void {
    this.connections.delete(socket);
    if (this.connections.size === 0) {
      for (const wake of this.waiters.splice(0)) {
        wake();
      }
    }
  }
}
