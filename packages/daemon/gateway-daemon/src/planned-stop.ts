/**
 * The planned stop of a daemon: no new work, the last requests end, connections close.
 */
import { setTimeout as delay } from 'node:timers/promises';

/**
 * Time after SIGTERM for which requests are taken: until the balancer has taken the daemon out of rotation, by two
 * readiness checks and a connection on its way. A request that came later could outlast the process.
 */
const TAKING_MILLISECONDS = 2900;
/** Time after that for which the process waits for the rest of a request that has begun to arrive. */
const ARRIVING_MILLISECONDS = 1000;
const EXIT_BEFORE_END_MILLISECONDS = 250;
const STOP_CHECK_MILLISECONDS = 50;

/** What a planned stop needs of the caller side. */
export interface StoppingServer {
  readonly inFlight: number;
  readonly connections: number;
  /** Refuses further requests and closes connections without one. */
  closeIdle(): void;
}

/** Resolves when the last request has ended or the grace time is nearly over; returns the time that it took. */
export async function waitForLastRequest(
  server: StoppingServer,
  graceMilliseconds: number,
): Promise<number> {
  const begunAt = performance.now();
  const elapsed = (): number => performance.now() - begunAt;
  while (elapsed() < graceMilliseconds - EXIT_BEFORE_END_MILLISECONDS) {
    await delay(STOP_CHECK_MILLISECONDS);
    if (elapsed() > TAKING_MILLISECONDS) {
      // Repeated, because connections become idle when their last answer has left.
      server.closeIdle();
      const isOver = elapsed() > TAKING_MILLISECONDS + ARRIVING_MILLISECONDS;
      if (server.inFlight === 0 && (server.connections === 0 || isOver)) {
        break;
      }
    }
  }
  return elapsed();
}
