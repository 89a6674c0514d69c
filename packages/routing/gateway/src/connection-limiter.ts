/**
 * Keeps the connections to callers and endpoints within their limits: closes idle ones, refuses requests when none is
 * idle, and drops new connections only when there is no descriptor left to refuse their requests with a response.
 */
import type { CallerConnections } from './caller-connections.js';
import type { ConnectionLimits } from './connection-limits.js';
import type { ConnectionPool } from './connection-pool.js';

/** What happened for lack of descriptors. */
export type DescriptorEvent =
  /** An idle connection was closed. */
  | 'caller-closed'
  | 'endpoint-closed'
  /** A request was refused without being run. */
  | 'request-refused'
  /** A new connection was closed before its request was read. */
  | 'connection-dropped'
  /** The system opened no connection to an endpoint, or accepted none of a caller. */
  | 'connect-failed'
  | 'accept-failed';

/** Options of `ConnectionLimiter`. */
export interface ConnectionLimiterOptions {
  readonly limits: ConnectionLimits;
  readonly callers: CallerConnections;
  readonly pool: ConnectionPool;
  /** Number of requests in flight, each of which may need a connection to an endpoint. */
  readonly countRequests: () => number;
  readonly onEvent: (event: DescriptorEvent, count: number) => void;
}

/** While there is still room, a connection whose caller may be about to use it stays open. */
const SETTLED_MILLISECONDS = 1000;
/** Above the maximum; spares connections whose first request has not been read yet. */
const MINIMUM_IDLE_MILLISECONDS = 20;
const RELIEF_INTERVAL_MILLISECONDS = 100;
/** Connections that are closed when the system has no descriptors left. */
const FREED_CONNECTIONS = 8;

/** Limits the connections of one server. */
export class ConnectionLimiter {
  private relief: Promise<void> | undefined;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConnectionLimiterOptions) {}

  /** Makes room for a connection that was accepted; returns whether it may stay open. */
  admitConnection(): boolean {
    const { maximum, refusable } = this.options.limits;
    const last = maximum + refusable;
    if (this.used > last) {
      this.closeSlowHeads(this.used - last);
      this.closeIdle(this.used - last, MINIMUM_IDLE_MILLISECONDS);
    }
    if (this.used > last) {
      this.options.onEvent('connection-dropped', 1);
      return false;
    }
    this.scheduleRelief();
    return true;
  }

  /** Makes room for the connection to an endpoint that a request needs; resolves with whether it may be run. */
  async admitRequest(): Promise<boolean> {
    const { maximum } = this.options.limits;
    this.scheduleRelief();
    if (this.used > maximum) {
      await this.relief;
    }
    if (this.used > maximum) {
      this.options.onEvent('request-refused', 1);
      return false;
    }
    return true;
  }

  /** Closes some connections after the system had no descriptor for another one. */
  handleShortage(event: 'connect-failed' | 'accept-failed'): void {
    this.options.onEvent(event, 1);
    // Bytes that have arrived are read first, since a connection may only seem to be idle.
    setImmediate(() => {
      const closed = this.closeIdle(FREED_CONNECTIONS, MINIMUM_IDLE_MILLISECONDS);
      this.closeSlowHeads(FREED_CONNECTIONS - closed);
    });
  }

  close(): void {
    clearTimeout(this.timer);
  }

  /** Descriptors in use, and those that the requests in flight may need. */
  private get used(): number {
    const { callers, pool, countRequests } = this.options;
    return callers.size + Math.max(pool.openConnections, countRequests());
  }

  // Waits until the bytes that have arrived are read, since a connection may only seem to be idle.
  private scheduleRelief(): void {
    if (this.used > this.options.limits.target) {
      this.relief ??= new Promise((resolve) => {
        setImmediate(() => {
          this.relief = undefined;
          this.relieve();
          resolve();
        });
      });
    }
  }

  private relieve(): void {
    const { target, maximum } = this.options.limits;
    this.closeIdle(this.used - target, SETTLED_MILLISECONDS);
    this.closeSlowHeads(this.used - maximum);
    this.closeIdle(this.used - maximum, MINIMUM_IDLE_MILLISECONDS);
    if (this.used > target) {
      this.timer ??= setTimeout(() => {
        this.timer = undefined;
        this.relieve();
      }, RELIEF_INTERVAL_MILLISECONDS).unref();
    }
  }

  private closeSlowHeads(count: number): void {
    this.report('caller-closed', this.options.callers.closeSlowHeads(count));
  }

  private closeIdle(count: number, minimumMilliseconds: number): number {
    const { callers, pool } = this.options;
    const closedCallers = callers.closeLongestIdle(count, minimumMilliseconds);
    const closedEndpoints = pool.closeLongestIdle(count - closedCallers, minimumMilliseconds);
    this.report('caller-closed', closedCallers);
    this.report('endpoint-closed', closedEndpoints);
    return closedCallers + closedEndpoints;
  }

  private report(event: DescriptorEvent, count: number): void {
    if (count > 0) {
      this.options.onEvent(event, count);
    }
  }
}
