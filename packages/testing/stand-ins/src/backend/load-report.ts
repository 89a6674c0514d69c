/**
 * Load reports (ORCA) that a backend server stand-in attaches to each response. Faults can make them
 * stale or false.
 */
import type { BackendFaults } from './faults.js';

/** Numbers of running requests and of requests in the server's own queue. */
export interface Load {
  readonly inFlight: number;
  readonly queued: number;
}

interface Sample extends Load {
  readonly at: number;
}

const MAXIMUM_SAMPLES = 10_000;

/** Keeps recent load samples, so that a stale load can be reported. */
export class LoadHistory {
  private samples: Sample[] = [];

  record(load: Load, now: number): void {
    this.samples.push({ ...load, at: now });
    if (this.samples.length > MAXIMUM_SAMPLES) {
      this.samples = this.samples.slice(MAXIMUM_SAMPLES / 2);
    }
  }

  /** Returns the load to report under the given faults. */
  getReportedLoad(current: Load, faults: BackendFaults, now: number): Load {
    if (faults.falseReport !== undefined) {
      return faults.falseReport;
    }
    if (faults.reportLagMilliseconds === 0) {
      return current;
    }
    const wantedAt = now - faults.reportLagMilliseconds;
    const stale = this.samples.findLast((sample) => sample.at <= wantedAt);
    return stale ?? { inFlight: 0, queued: 0 };
  }
}

/** Formats the header `endpoint-load-metrics`. */
export function formatLoadHeader(load: Load): string {
  return `TEXT named_metrics.in_flight=${load.inFlight}, named_metrics.queued=${load.queued}`;
}
