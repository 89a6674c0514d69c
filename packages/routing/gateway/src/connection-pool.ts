/**
 * Pools idle connections to endpoints. The most recently used connection that may carry a request is reused first.
 */
import { EndpointConnection } from './endpoint-connection.js';

/** Maximum number of idle connections per endpoint. */
const MAXIMUM_IDLE_CONNECTIONS = 4;

/** Options of `ConnectionPool`. */
export interface ConnectionPoolOptions {
  /** Lower-case name of the header by which a response names its request. */
  readonly requestIdHeader: string;
  /** Maximum number of idle connections to all endpoints. */
  readonly maximumIdleConnections: number;
  /** Called for each copy of an earlier response that is removed. */
  readonly onRepeatedResponse: () => void;
}

/** Opens connections and pools idle ones by address. */
export class ConnectionPool {
  private readonly idle = new Map<string, EndpointConnection[]>();

  /** All idle connections, those that have been idle longest first. */
  private readonly idleOrder = new Map<EndpointConnection, string>();

  private openCount = 0;

  constructor(private readonly options: ConnectionPoolOptions) {}

  /** Number of connections that are open or being opened. */
  get openConnections(): number {
    return this.openCount;
  }

  /** Returns a connection for a request with the given id that has been idle for at most the given time, or opens a new one. */
  acquire(
    address: string,
    requestId: string | undefined,
    maximumIdleMilliseconds: number,
  ): EndpointConnection {
    for (const connection of [...(this.idle.get(address) ?? [])].reverse()) {
      if (connection.closed || connection.idleMilliseconds > maximumIdleMilliseconds) {
        this.closeConnection(address, connection);
      } else if (connection.history.mayCarry(requestId)) {
        this.remove(address, connection);
        return connection;
      }
    }
    return new EndpointConnection(address, {
      requestIdHeader: this.options.requestIdHeader,
      onClosed: (closed) => {
        this.remove(address, closed);
        closed.destroy();
      },
      onRepeatedResponse: this.options.onRepeatedResponse,
      onSocketOpened: () => {
        this.openCount += 1;
      },
      onSocketClosed: () => {
        this.openCount -= 1;
      },
    });
  }

  /** Returns a connection to the pool after its last response was received completely. */
  release(address: string, connection: EndpointConnection): void {
    if (connection.closed || connection.broken || connection.history.isFull) {
      connection.destroy();
      return;
    }
    connection.markIdle();
    const connections = this.idle.get(address) ?? [];
    connections.push(connection);
    this.idle.set(address, connections);
    this.idleOrder.set(connection, address);
    if (connections.length > MAXIMUM_IDLE_CONNECTIONS) {
      this.closeConnection(address, connections[0] as EndpointConnection);
    }
    const excess = this.idleOrder.size - this.options.maximumIdleConnections;
    if (excess > 0) {
      this.closeLongestIdle(excess);
    }
  }

  /**
   * Closes up to the given number of connections that have been idle for the given time, those that have been idle
   * longest first; returns how many.
   */
  closeLongestIdle(count: number, minimumMilliseconds = 0): number {
    let closed = 0;
    for (const [connection, address] of this.idleOrder) {
      if (closed >= count || connection.idleMilliseconds < minimumMilliseconds) {
        break;
      }
      this.closeConnection(address, connection);
      closed += 1;
    }
    return closed;
  }

  /** Closes the idle connections to an address. */
  closeIdle(address: string): void {
    for (const connection of [...(this.idle.get(address) ?? [])]) {
      this.closeConnection(address, connection);
    }
  }

  /** Closes every idle connection. */
  close(): void {
    this.closeLongestIdle(Infinity);
  }

  private closeConnection(address: string, connection: EndpointConnection): void {
    this.remove(address, connection);
    connection.destroy();
  }

  private remove(address: string, connection: EndpointConnection): void {
    if (!this.idleOrder.delete(connection)) {
      return;
    }
    const connections = this.idle.get(address) ?? [];
    connections.splice(connections.indexOf(connection), 1);
    if (connections.length === 0) {
      this.idle.delete(address);
    }
  }
}
