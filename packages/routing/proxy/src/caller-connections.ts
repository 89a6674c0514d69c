/**
 * The connections of callers, and their end at a planned stop. A kept connection without a request is
 * closed by FIN only when the time that answers announce in `Keep-Alive: timeout` is over. An earlier FIN
 * could cross a request on the network, and that request would get no answer.
 */
import type * as net from 'node:net';

const SWEEP_MILLISECONDS = 50;
/** Beyond the announced time, for requests that callers sent just before its end. */
const IDLE_MARGIN_MILLISECONDS = 500;
/** Time that a caller gets to close its own side after the FIN. */
const LINGER_MILLISECONDS = 1000;

interface Connection {
  requests: number;
  /** Bytes that had arrived when the last request ended; more of them begin another request. */
  bytesWhenIdle: number;
  idleSince: number;
  finSentAt: number | undefined;
}

/** The open connections of one server. */
export class CallerConnections {
  private readonly connections = new Map<net.Socket, Connection>();

  private timer: NodeJS.Timeout | undefined;

  private waiters: (() => void)[] = [];

  /** `keepAliveMilliseconds` is the time without a request that answers announce to callers. */
  constructor(private readonly keepAliveMilliseconds: number) {}

  /** Follows a connection until it is closed. */
  readonly add = (socket: net.Socket): void => {
    this.connections.set(socket, {
      requests: 0,
      bytesWhenIdle: socket.bytesRead,
      idleSince: performance.now(),
      finSentAt: undefined,
    });
    socket.once('close', () => this.remove(socket));
  };

  /** Notes that a request has begun on a connection. */
  startRequest(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests += 1;
    }
  }

  /** Notes that the answer of a request has left. */
  finishRequest(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests -= 1;
      connection.bytesWhenIdle = socket.bytesRead;
      connection.idleSince = performance.now();
    }
  }

  /** Closes idle connections from now on. */
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

  /** Resolves when no connection is open. */
  whenClosed(): Promise<void> {
    if (this.connections.size === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /** Ends the sweep. */
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
