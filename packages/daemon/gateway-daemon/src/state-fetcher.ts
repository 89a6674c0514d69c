/**
 * Fetches the state of other daemons when their datagrams report newer versions. One at a time, because a configuration
 * may be large and many daemons report it at once; what is reported meanwhile is looked at afterwards.
 */
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import { DeferredReports, type StateVersions, type VersionReport } from './deferred-reports.js';
import type { Directory, State } from './directory.js';
import type { MemberTable } from './member.js';
import { requestState } from './state-server.js';
import { isLater, readPosition } from './store-position.js';

/** Minimum interval between fetches of changed endpoints by a daemon that does not dispatch, unless one drains. */
const LAZY_FETCH_MILLISECONDS = 2000;

/** An event that the metrics count. */
export type StateFetchEvent = 'succeeded' | 'failed' | 'deferred';

/** Options of `StateFetcher`. */
export interface StateFetcherOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  /** Whether this daemon is the dispatcher or the standby of any cell. */
  readonly isDispatching: () => boolean;
  readonly importState: (state: State, source: string) => void;
  /** Aborted when the daemon closes. */
  readonly closing: AbortSignal;
  readonly logger: observability.ComponentLogger;
}

/** Options of one fetch. */
export interface FetchOptions {
  /** Time for which the other daemon may wait for its own first state. */
  readonly waitMilliseconds?: number;
  /** Called with the fields of a log line if the fetch fails. */
  readonly onFailure: (fields: observability.LogFields) => void;
}

/** The fetches of one daemon. */
export class StateFetcher {
  private runningFetches = 0;

  private reported: Promise<void> = Promise.resolve();

  private readonly deferred = new DeferredReports();

  private readonly counts = new Map<StateFetchEvent, number>();

  private lastFetchAt = -Infinity;

  constructor(private readonly options: StateFetcherOptions) {}

  /** Number of events so far. */
  get eventCounts(): ReadonlyMap<StateFetchEvent, number> {
    return this.counts;
  }

  /** The latest fetch of what a datagram reported; never rejects. */
  get reportedFetch(): Promise<void> {
    return this.reported;
  }

  /**
   * Fetches the state of a daemon that reports a newer configuration, newer endpoints or other members; if a fetch is
   * under way, after it.
   */
  fetchIfNewer(versions: StateVersions, host: string): void {
    if (!this.isWorthFetching(versions)) {
      return;
    }
    const report = { host, versions, receivedAt: performance.now() };
    if (this.runningFetches > 0) {
      this.deferred.add(report);
      this.count('deferred');
    } else {
      this.fetchReported(report);
    }
  }

  /** Fetches the state of the daemon at an address; never rejects. */
  async fetch(address: string, { waitMilliseconds, onFailure }: FetchOptions): Promise<void> {
    const startedAt = performance.now();
    this.lastFetchAt = startedAt;
    this.runningFetches += 1;
    try {
      const state = await this.request(address, waitMilliseconds);
      this.options.importState(state, address);
      this.count('succeeded');
    } catch (error) {
      this.count('failed');
      const { kind, message } = results.toFailure(error);
      const milliseconds = Math.round(performance.now() - startedAt);
      onFailure({ result: kind, reason: message, milliseconds });
    } finally {
      this.runningFetches -= 1;
      this.fetchDeferred();
    }
  }

  private request(address: string, waitMilliseconds: number | undefined): Promise<State> {
    const { directory, members, closing } = this.options;
    const { era, revision } = directory.position;
    return requestState(
      address,
      {
        configurationVersion: directory.configurationVersion,
        directoryRevision: revision,
        directoryEra: era,
        memberDigest: members.digest,
        members: [members.self],
        waitMilliseconds,
        acceptsChanges: true,
      },
      closing,
    );
  }

  private isWorthFetching(versions: StateVersions): boolean {
    const { directory, members, isDispatching } = this.options;
    const { position } = directory;
    const reported = readPosition(versions, position);
    const isDue = performance.now() - this.lastFetchAt > LAZY_FETCH_MILLISECONDS;
    const mustFetchEndpoints = (): boolean =>
      isDue ||
      !directory.hasEndpoints ||
      reported.era > position.era ||
      (versions.drains?.[0] ?? 0) > position.revision ||
      isDispatching();
    const hasOtherMembers =
      versions.memberDigest !== undefined && versions.memberDigest !== members.digest;
    return (
      versions.configurationVersion > directory.configurationVersion ||
      (isLater(reported, position) && mustFetchEndpoints()) ||
      (hasOtherMembers && isDue)
    );
  }

  private fetchReported({ host, receivedAt }: VersionReport): void {
    const member = this.options.members.findByHost(host);
    if (member === undefined) {
      return;
    }
    const { name: from, peerAddress } = member;
    const deferredMilliseconds = Math.round(performance.now() - receivedAt);
    this.reported = this.fetch(peerAddress, {
      onFailure: (fields) =>
        this.options.logger.warn('fetching the state of another daemon failed', {
          from,
          deferredMilliseconds,
          ...fields,
        }),
    });
  }

  /** Fetches what was reported meanwhile and is still newer than the own state. */
  private fetchDeferred(): void {
    while (this.runningFetches === 0 && !this.options.closing.aborted) {
      const report = this.deferred.takeLatest();
      if (report === undefined) {
        return;
      }
      if (this.isWorthFetching(report.versions)) {
        this.fetchReported(report);
      }
    }
  }

  private count(event: StateFetchEvent): void {
    this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
  }
}
