/**
 * The connections of callers, and their end at a planned stop. A kept connection without a request is
 * closed by FIN after a short time. A caller that sends at the very moment of the FIN gets no answer: the
 * request crosses the FIN on the network, which one side alone can't prevent.
 */
import type * as net from 'node:net';

const SWEEP_MILLISECONDS = 50;
/** Time without a request after which a kept connection is closed. */
const IDLE_MILLISECONDS = 200;
/** Time that a caller gets to close its own side after the FIN. */
const LINGER_MILLISECONDS = 1000;

interface Connection {
  requests: number;
  /** Bytes that had arrived when the last request ended; more of them begin another request. */
  bytesAtRest: number;
  idleSince: number;
  endedAt: number | undefined;
}

function endIdle(socket: net.Socket, connection: Connection, now: number): void {
  if (now - connection.idleSince >= IDLE_MILLISECONDS) {
    Object.assign(connection, { endedAt: now });
    socket.end();
  }
}

/** The open connections of one server. */
export class CallerConnections {
  private readonly connections = new Map<net.Socket, Connection>();

  private timer: NodeJS.Timeout | undefined;

  private waiters: (() => void)[] = [];

  /** Follows a connection until it is closed. */
  readonly add = (socket: net.Socket): void => {
    this.connections.set(socket, {
      requests: 0,
      bytesAtRest: socket.bytesRead,
      idleSince: performance.now(),
      endedAt: undefined,
    });
    socket.once('close', () => this.remove(socket));
  };

  /** Notes that a request has begun on a connection. */
  enter(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests += 1;
    }
  }

  /** Notes that the answer of a request has left. */
  leave(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      connection.requests -= 1;
      connection.bytesAtRest = socket.bytesRead;
      connection.idleSince = performance.now();
    }
  }

  /** Closes idle connections from now on. */
  beginStop(): void {
    this.timer ??= setInterval(this.sweep, SWEEP_MILLISECONDS);
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

  private readonly sweep = (): void => {
    const now = performance.now();
    for (const [socket, connection] of this.connections) {
      const arriving = socket.bytesRead !== connection.bytesAtRest;
      if (connection.endedAt !== undefined) {
        if (now - connection.endedAt > LINGER_MILLISECONDS) {
          socket.destroy();
        }
      } else if (connection.requests === 0 && !arriving) {
        endIdle(socket, connection, now);
      }
    }
  };

  private remove(socket: net.Socket): void {
    this.connections.delete(socket);
    if (this.connections.size === 0) {
      for (const wake of this.waiters.splice(0)) {
        wake();
      }
    }
  }
}
