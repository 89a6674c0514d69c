/**
 * What one backend server stand-in counts.
 */

/** Numbers since the start of the server. */
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
  /** Work that was started although the server drains. */
  startedWhileDraining: number;
  /** From the begin of the drain to the last start of work after it. */
  lastStartAfterDrainMilliseconds: number;
  /** Drains since the start. */
  drains: number;
  /** From the first answer that stated a drain to the last arrival of work after it; the longest of all drains. */
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
