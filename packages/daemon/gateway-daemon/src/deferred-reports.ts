/**
 * What other daemons report of their state while this daemon fetches one. It is kept until the fetch has ended, because
 * the fetch may fail, and no other datagram may report the same in time.
 */
import type { ReportedPosition } from './store-position.js';

/** Versions of the state of a daemon, as its pings and pongs report them. */
export interface StateVersions extends ReportedPosition {
  readonly configurationVersion: number;
  /** Revision at which an endpoint last began to drain; empty if none did, absent from pings and older daemons. */
  readonly drains?: readonly number[] | undefined;
  /** Digest of the known members; absent from pings. */
  readonly memberDigest?: string;
}

/** The versions that one daemon reported. */
export interface VersionReport {
  readonly host: string;
  readonly versions: StateVersions;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/** The latest report of each daemon. */
export class DeferredReports {
  /** By host, the latest last. */
  private readonly byHost = new Map<string, VersionReport>();

  add(report: VersionReport): void {
    this.byHost.delete(report.host);
    this.byHost.set(report.host, report);
  }

  /** Removes and returns the report that arrived last; its sender is the most likely one to respond. */
  takeLatest(): VersionReport | undefined {
    const latest = [...this.byHost.values()].at(-1);
    if (latest !== undefined) {
      this.byHost.delete(latest.host);
    }
    return latest;
  }
}
