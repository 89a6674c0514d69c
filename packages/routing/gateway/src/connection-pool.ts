/**
 * The idle connections to endpoints, most recently used first.
 */
import { EndpointConnection } from './endpoint-connection.js';

/** Idle connections kept per endpoint. */
const MAXIMUM_IDLE = 4;

/** Opens and keeps connections. */
export class ConnectionPool {
  private readonly idle = new Map<string, EndpointConnection[]>();

  /** Returns a connection that has rested for a limited time, or opens one. */
  take(address: string, reuseWithinMilliseconds: number): EndpointConnection {
    const connections = this.idle.get(address);
    for (let next = connections?.pop(); next !== undefined; next = connections?.pop()) {
      if (!next.closed && next.restedMilliseconds <= reuseWithinMilliseconds) {
        return next;
      }
      next.destroy();
    }
    return new EndpointConnection(address, (closed) => this.remove(address, closed));
  }

  /** Keeps a connection whose last answer was whole. */
  give(address: string, connection: EndpointConnection): void {
    if (connection.closed || connection.broken) {
      connection.destroy();
      return;
    }
    connection.rest();
    const connections = this.idle.get(address) ?? [];
    connections.push(connection);
    this.idle.set(address, connections);
    if (connections.length > MAXIMUM_IDLE) {
      connections.shift()?.destroy();
    }
  }

  /** Closes every idle connection. */
  close(): void {
    for (const connections of this.idle.values()) {
      for (const connection of connections) {
        connection.destroy();
      }
    }
    this.idle.clear();
  }

  private remove(address: string, closed: EndpointConnection): void {
    const connections = this.idle.get(address)?.filter((connection) => connection !== closed) ?? [];
    if (connections.length === 0) {
      this.idle.delete(address);
    } else {
      this.idle.set(address, connections);
    }
    closed.destroy();
  }
}
