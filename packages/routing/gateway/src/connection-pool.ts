/**
 * Pools idle connections to endpoints. The most recently used connection is reused first.
 */
import { EndpointConnection } from './endpoint-connection.js';

/** Maximum number of idle connections per endpoint. */
const MAXIMUM_IDLE_CONNECTIONS = 4;

/** Opens connections and pools idle ones by address. */
export class ConnectionPool {
  private readonly idle = new Map<string, EndpointConnection[]>();

  /** Returns a connection that has been idle for at most the given time, or opens a new one. */
  acquire(address: string, maximumIdleMilliseconds: number): EndpointConnection {
    const connections = this.idle.get(address);
    for (let next = connections?.pop(); next !== undefined; next = connections?.pop()) {
      if (!next.closed && next.idleMilliseconds <= maximumIdleMilliseconds) {
        return next;
      }
      next.destroy();
    }
    return new EndpointConnection(address, (closed) => this.remove(address, closed));
  }

  /** Returns a connection to the pool after its last response was received completely. */
  release(address: string, connection: EndpointConnection): void {
    if (connection.closed || connection.broken) {
      connection.destroy();
      return;
    }
    connection.markIdle();
    const connections = this.idle.get(address) ?? [];
    connections.push(connection);
    this.idle.set(address, connections);
    if (connections.length > MAXIMUM_IDLE_CONNECTIONS) {
      connections.shift()?.destroy();
    }
  }

  /** Closes the idle connections to an address. */
  closeIdle(address: string): void {
    for (const connection of this.idle.get(address) ?? []) {
      connection.destroy();
    }
    this.idle.delete(address);
  }

  /** Closes every idle connection. */
  close(): void {
    for (const address of [...this.idle.keys()]) {
      this.closeIdle(address);
    }
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
