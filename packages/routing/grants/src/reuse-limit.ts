/**
 * How long connections to the endpoints of a cell may rest before they are used again. Endpoints may forget resting
 * connections without notice and reset what is sent next, which loses a request that must not repeat.
 */

/** Longer than endpoints keep resting connections. */
const UNLIMITED_MILLISECONDS = 60_000;
/** A reset of a connection that rested for less than this is a failure of the endpoint. */
const SHORTEST_REST_MILLISECONDS = 120;
/** The limit is this share of a rest that was reset: each further reset loses a request. */
const LIMIT_SHARE = 0.3;
/** Endpoints that reset resting connections within the window before a limit is set. */
const ENDPOINTS_TO_LIMIT = 2;
const WINDOW_MILLISECONDS = 3000;
/** Time for which a limit holds after the last such reset. */
const LIMIT_MILLISECONDS = 10_000;
/** An endpoint that resets requests on busy connections fails; its other resets say nothing about rests. */
const FAILING_MILLISECONDS = 5000;

interface StaleReset {
  readonly endpoint: string;
  readonly at: number;
}

/** The limit of one cell. */
export class ReuseLimit {
  private resets: StaleReset[] = [];

  private readonly failedAt = new Map<string, number>();

  private limit = UNLIMITED_MILLISECONDS;

  private limitedUntil = -Infinity;

  /** Returns the longest rest of a connection that may be used again. */
  at(now: number): number {
    return now < this.limitedUntil ? this.limit : UNLIMITED_MILLISECONDS;
  }

  /**
   * Notes that an endpoint reset a request without an answer, on a connection that had rested for a time. Returns
   * whether the endpoint has probably only forgotten the connection.
   */
  noteReset(endpoint: string, rested: number, now: number): boolean {
    if (rested < SHORTEST_REST_MILLISECONDS) {
      this.failedAt.set(endpoint, now);
      return false;
    }
    if (now - (this.failedAt.get(endpoint) ?? -Infinity) < FAILING_MILLISECONDS) {
      return false;
    }
    this.resets = this.resets.filter(({ at }) => now - at < WINDOW_MILLISECONDS);
    this.resets.push({ endpoint, at: now });
    const known = this.at(now);
    const endpoints = new Set(this.resets.map((reset) => reset.endpoint));
    if (known < UNLIMITED_MILLISECONDS || endpoints.size >= ENDPOINTS_TO_LIMIT) {
      this.limit = Math.min(known, Math.max(SHORTEST_REST_MILLISECONDS, rested * LIMIT_SHARE));
      this.limitedUntil = now + LIMIT_MILLISECONDS;
    }
    return true;
  }
}
