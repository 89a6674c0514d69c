/**
 * Graceful shutdown of a daemon: waits until no new requests arrive, pending requests have ended and connections are
 * closed.
 */
import { setTimeout as delay } from 'node:timers/promises';

/**
 * Time after SIGTERM during which new requests are accepted: the load balancer takes the daemon out of rotation after
 * two failed readiness checks, and a connection may still be on its way. A later request could outlast the process.
 */
const ACCEPTING_MILLISECONDS = 2900;
/** Time after that during which the process waits for the rest of partially received requests. */
const RECEIVING_MILLISECONDS = 1000;
/** The wait ends this long before the grace time, so that the process exits before it is killed. */
const EXIT_MARGIN_MILLISECONDS = 250;
const STOP_CHECK_MILLISECONDS = 50;

/** The part of the gateway server that a graceful shutdown uses. */
export interface DrainableServer {
  readonly inFlight: number;
  readonly connections: number;
  /** Rejects further requests and closes idle connections. */
  closeIdle(): void;
}

/** Resolves to the elapsed milliseconds when the last request has ended or the grace time is nearly over. */
export async function drainRequests(
  server: DrainableServer,
  graceMilliseconds: number,
): Promise<number> {
  const startedAt = performance.now();
  const elapsed = (): number => performance.now() - startedAt;
  while (elapsed() < graceMilliseconds - EXIT_MARGIN_MILLISECONDS) {
    await delay(STOP_CHECK_MILLISECONDS);
    if (elapsed() > ACCEPTING_MILLISECONDS) {
      // Repeated, because a connection becomes idle only after its last response has been sent.
      server.closeIdle();
      const isOver = elapsed() > ACCEPTING_MILLISECONDS + RECEIVING_MILLISECONDS;
      if (server.inFlight === 0 && (server.connections === 0 || isOver)) {
        break;
      }
    }
  }
  return elapsed();
}
