/**
 * Counters of one backend server stand-in.
 */

/** Counters since the start of the server. */
export interface BackendCounters {
  connections: number;
  requests: number;
  started: number;
  finished: number;
  failed: number;
  shed: number;
  expired: number;
  cancelled: number;
  crashes: number;
  largestQueue: number;
  /** Executions that were started while the server was draining. */
  startedWhileDraining: number;
  /** Time from the start of the drain to the last execution that was started during it. */
  lastStartAfterDrainMilliseconds: number;
  /** Number of drains. */
  drains: number;
  /** Longest time, over all drains, from the first response that reported the drain to a later request. */
  lastArrivalAfterStatementMilliseconds: number;
}

/** Returns counters at zero. */
export function createCounters(): BackendCounters {
  return {
    connections: 0,
    requests: 0,
    started: 0,
    finished: 0,
    failed: 0,
    shed: 0,
    expired: 0,
    cancelled: 0,
    crashes: 0,
    largestQueue: 0,
    startedWhileDraining: 0,
    lastStartAfterDrainMilliseconds: 0,
    drains: 0,
    lastArrivalAfterStatementMilliseconds: 0,
  };
}
