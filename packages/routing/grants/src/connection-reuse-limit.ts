/**
 * The maximum idle time of connections to the endpoints of a cell for them to be reused. Endpoints may drop idle
 * connections without notice and reset the next request, which can't be retried if it is not idempotent.
 */

/** Effectively unlimited: endpoints close idle connections earlier. */
const UNLIMITED_MILLISECONDS = 60_000;
/** A reset of a connection that was idle for less than this counts as a failure of the endpoint. */
const MINIMUM_IDLE_MILLISECONDS = 120;
/** Limit as a share of the idle time of a connection that was reset; low, as each further reset loses a request. */
const LIMIT_SHARE = 0.3;
/** Number of endpoints that must reset idle connections within the window before a limit is set. */
const ENDPOINTS_TO_LIMIT = 2;
const WINDOW_MILLISECONDS = 3000;
/** Time for which the limit applies after the last such reset. */
const LIMIT_MILLISECONDS = 10_000;
/** Time for which resets of idle connections are ignored after the endpoint has reset a busy one: it is failing. */
const FAILING_MILLISECONDS = 5000;

interface StaleReset {
  readonly endpoint: string;
  readonly at: number;
}

/** The reuse limit of one cell. */
export class ConnectionReuseLimit {
  private resets: StaleReset[] = [];

  private readonly failedAt = new Map<string, number>();

  private limit = UNLIMITED_MILLISECONDS;

  private limitedUntil = -Infinity;

  /** Returns the maximum idle time in milliseconds of a connection that may be reused. */
  at(now: number): number {
    return now < this.limitedUntil ? this.limit : UNLIMITED_MILLISECONDS;
  }

  /**
   * Records that an endpoint reset a connection before it sent a response. `idle` is the connection's idle time before
   * the request. Returns whether the endpoint probably just dropped the idle connection.
   */
  recordReset(endpoint: string, idle: number, now: number): boolean {
    if (idle < MINIMUM_IDLE_MILLISECONDS) {
      this.failedAt.set(endpoint, now);
      return false;
    }
    if (now - (this.failedAt.get(endpoint) ?? -Infinity) < FAILING_MILLISECONDS) {
      return false;
    }
    this.resets = this.resets.filter(({ at }) => now - at < WINDOW_MILLISECONDS);
    this.resets.push({ endpoint, at: now });
    const current = this.at(now);
    const endpoints = new Set(this.resets.map((reset) => reset.endpoint));
    if (current < UNLIMITED_MILLISECONDS || endpoints.size >= ENDPOINTS_TO_LIMIT) {
      this.limit = Math.min(current, Math.max(MINIMUM_IDLE_MILLISECONDS, idle * LIMIT_SHARE));
      this.limitedUntil = now + LIMIT_MILLISECONDS;
    }
    return true;
  }
}
