/**
 * Graceful shutdown of a daemon: waits until no new requests arrive, pending requests have ended and connections are
 * closed.
 */
import { setImmediate as yieldToSockets, setTimeout as delay } from 'node:timers/promises';

/**
 * Time after SIGTERM during which new requests are accepted: the load balancer takes the daemon out of rotation after
 * two failed readiness checks, and a connection may still be on its way. A later request could outlast the process.
 */
const ACCEPTING_MILLISECONDS = 2900;
/** Upper bound of that time as a share of the time until the end, so that the last requests can still end. */
const ACCEPTING_SHARE = 0.6;
/** Time after that during which the process waits for the rest of partially received requests. */
const RECEIVING_MILLISECONDS = 1000;
/** The last requests are ended this long before the grace time, so that the process exits before it is killed. */
const EXIT_MARGIN_MILLISECONDS = 500;
/** Time for sending the responses to the requests that are ended then. */
const RESPONDING_MILLISECONDS = 100;
const STOP_CHECK_MILLISECONDS = 50;

/** The part of the gateway server that a graceful shutdown uses. */
export interface DrainableServer {
  readonly inFlight: number;
  readonly connections: number;
  /** From now on each response closes its connection, and no request is given more than the time that is left. */
  beginStop(milliseconds: number): void;
  /** Rejects further requests and closes idle connections. */
  closeIdle(): void;
  /** Ends the requests in flight with a response. */
  abortRequests(): void;
}

/** Resolves to the elapsed milliseconds when the last request has ended, at the latest shortly before the grace time. */
export async function drainRequests(
  server: DrainableServer,
  graceMilliseconds: number,
): Promise<number> {
  const startedAt = performance.now();
  const elapsed = (): number => performance.now() - startedAt;
  const available = Math.max(0, graceMilliseconds - EXIT_MARGIN_MILLISECONDS);
  const accepting = Math.min(ACCEPTING_MILLISECONDS, available * ACCEPTING_SHARE);
  server.beginStop(available);
  while (elapsed() < available) {
    await delay(STOP_CHECK_MILLISECONDS);
    if (elapsed() > accepting) {
      // After a stall, timers run before sockets: connections are accepted in the next turn and read in the one after it.
      await yieldToSockets();
      await yieldToSockets();
      // Repeated, because a connection becomes idle only after its last response has been sent.
      server.closeIdle();
      const isOver = elapsed() > accepting + RECEIVING_MILLISECONDS;
      if (server.inFlight === 0 && (server.connections === 0 || isOver)) {
        return elapsed();
      }
    }
  }
  server.abortRequests();
  await delay(RESPONDING_MILLISECONDS);
  return elapsed();
}
