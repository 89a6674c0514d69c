/**
 * What other daemons report of their state while this daemon fetches one: kept until the fetch has ended, because it may
 * fail, and nothing else may report the same in time.
 */
import type { ReportedPosition } from './store-position.js';

/** What a ping or pong reports of the state of its sender. */
export interface StateNews extends ReportedPosition {
  readonly configurationVersion: number;
  /** Revision at which an endpoint last began to drain; empty if none did, absent from pings and older daemons. */
  readonly drains?: readonly number[] | undefined;
  /** Digest of the known members; absent from pings. */
  readonly memberDigest?: string;
}

/** News of one daemon. */
export interface ReceivedNews {
  readonly host: string;
  readonly news: StateNews;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/** The latest news of each daemon. */
export class DeferredNews {
  /** By host, the latest last. */
  private readonly byHost = new Map<string, ReceivedNews>();

  add(received: ReceivedNews): void {
    this.byHost.delete(received.host);
    this.byHost.set(received.host, received);
  }

  /** Removes and returns the news that arrived last; their sender is the most likely one to respond. */
  takeLatest(): ReceivedNews | undefined {
    const latest = [...this.byHost.values()].at(-1);
    if (latest !== undefined) {
      this.byHost.delete(latest.host);
    }
    return latest;
  }
}
