/**
 * Follows the platform's store while this daemon is responsible for it.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type { Endpoint } from '@dogwoodstall/traffic';
import type { Directory } from './directory.js';
import type { DirectorySource } from './sources.js';
import type { StoreNews } from './store-news.js';

/** Pause between two calls for endpoints: heartbeats change an entry many times a second, and calls are paid for. */
const ENDPOINT_PAUSE_MILLISECONDS = 350;
/** Longest wait of one call; a connection that went silent is noticed a little later. */
const ENDPOINT_WAIT_MILLISECONDS = 500;
const CONFIGURATION_WAIT_MILLISECONDS = 2000;
const CALL_MILLISECONDS = 500;
const FIRST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 1500;
const IDLE_CHECK_MILLISECONDS = 100;
/** Interval of the same check while nothing is known, when each moment counts for callers. */
const START_CHECK_MILLISECONDS = 20;

/** Options of `StoreWatcher`. */
export interface StoreWatcherOptions {
  readonly source: DirectorySource;
  readonly directory: Directory;
  readonly news: StoreNews;
  readonly isResponsible: () => boolean;
  /** Called when the store stops to answer this daemon. */
  readonly onLost: () => void;
  readonly logger: observability.ComponentLogger;
}

/** Reads and watches the configuration and the endpoints. */
export class StoreWatcher {
  private readonly closing = new AbortController();

  private contactAt = -Infinity;

  private lost = false;

  /** Endpoints whose entries lapsed around an outage, with the time at which they count as gone. */
  private readonly lapsed = new Map<string, number>();

  constructor(private readonly options: StoreWatcherOptions) {}

  /** Monotonic milliseconds of the last answer of the store. */
  get lastContactAt(): number {
    return this.contactAt;
  }

  /** Whether the last call failed. */
  get isLost(): boolean {
    return this.lost;
  }

  /** Runs until `stop`. */
  start(): void {
    for (const follow of [this.followEndpoints, this.followConfiguration]) {
      this.repeat(follow).catch((error: unknown) => {
        this.options.logger.error('following the store ended', { reason: String(error) });
      });
    }
  }

  stop(): void {
    this.closing.abort();
  }

  private async repeat(follow: () => Promise<void>): Promise<void> {
    let retry = FIRST_RETRY_MILLISECONDS;
    while (!this.closing.signal.aborted) {
      try {
        while (!this.options.isResponsible()) {
          const pause = this.options.directory.isComplete
            ? IDLE_CHECK_MILLISECONDS
            : START_CHECK_MILLISECONDS;
          await delay(pause, undefined, { signal: this.closing.signal });
        }
        await follow();
        retry = FIRST_RETRY_MILLISECONDS;
      } catch (error) {
        if (this.closing.signal.aborted) {
          return;
        }
        if (!results.isFailure(error, 'StoreHistoryLost')) {
          this.noteFailure(error);
          await delay(retry);
          retry = Math.min(LONGEST_RETRY_MILLISECONDS, retry * 2);
        }
      }
    }
  }

  private readonly followEndpoints = async (): Promise<void> => {
    const { source, directory } = this.options;
    const reading = await this.call(CALL_MILLISECONDS, (signal) => source.readEndpoints(signal));
    this.noteContact();
    this.replaceAll(reading.endpoints, reading.revision);
    let { revision } = reading;
    while (this.options.isResponsible()) {
      await delay(ENDPOINT_PAUSE_MILLISECONDS, undefined, { signal: this.closing.signal });
      const wait = ENDPOINT_WAIT_MILLISECONDS;
      const after = revision;
      const changes = await this.call(wait + CALL_MILLISECONDS, (signal) =>
        source.watchEndpoints(after, wait, signal),
      );
      this.noteContact();
      revision = changes.revision;
      const puts: Endpoint[] = [];
      const removed: string[] = [];
      for (const change of changes.changes) {
        if (change.kind === 'put') {
          puts.push(change.endpoint);
          this.lapsed.delete(change.endpoint.id);
        } else if (performance.now() < this.options.news.lapsedUntil) {
          this.lapsed.set(change.id, this.options.news.lapsedUntil);
        } else {
          removed.push(change.id);
        }
      }
      removed.push(...this.takeGone());
      directory.changeEndpoints(puts, removed, revision, 'store');
    }
  };

  private readonly followConfiguration = async (): Promise<void> => {
    const { source, directory } = this.options;
    let reading = await this.call(CALL_MILLISECONDS, (signal) => source.readConfiguration(signal));
    while (this.options.isResponsible()) {
      this.noteContact();
      if (reading.configuration !== undefined) {
        directory.putConfiguration(reading.configuration, 'store');
      }
      const wait = CONFIGURATION_WAIT_MILLISECONDS;
      const { revision } = reading;
      reading = await this.call(wait + CALL_MILLISECONDS, (signal) =>
        source.watchConfiguration(revision, wait, signal),
      );
    }
  };

  // Entries that are missing in a whole reading may have lapsed during an outage.
  private replaceAll(endpoints: readonly Endpoint[], revision: number): void {
    const { directory } = this.options;
    const kept = [...endpoints];
    const ids = new Set(endpoints.map(({ id }) => id));
    const now = performance.now();
    for (const id of ids) {
      this.lapsed.delete(id);
    }
    const { lapsedUntil } = this.options.news;
    if (now < lapsedUntil) {
      for (const known of directory.listAll()) {
        if (!ids.has(known.id)) {
          this.lapsed.set(known.id, this.lapsed.get(known.id) ?? lapsedUntil);
          kept.push(known);
        }
      }
    }
    directory.replaceEndpoints(kept, revision, 'store');
  }

  private takeGone(): string[] {
    const now = performance.now();
    const gone: string[] = [];
    for (const [id, until] of this.lapsed) {
      if (now >= until) {
        gone.push(id);
        this.lapsed.delete(id);
      }
    }
    return gone;
  }

  private call<Value>(
    milliseconds: number,
    send: (signal: AbortSignal) => Promise<Value>,
  ): Promise<Value> {
    return results.callWithTimeout(milliseconds, this.closing.signal, send);
  }

  private noteContact(): void {
    const now = performance.now();
    const hadContact = this.contactAt > -Infinity;
    if (this.lost) {
      this.lost = false;
      this.options.logger.info('store answers again', {
        awayMilliseconds: hadContact ? Math.round(now - this.contactAt) : -1,
      });
    }
    this.contactAt = now;
    this.options.news.note(now);
  }

  private noteFailure(error: unknown): void {
    if (!this.lost) {
      this.lost = true;
      const { kind, message } = results.toFailure(error);
      this.options.logger.warn('store does not answer', { result: kind, reason: message });
      this.options.onLost();
    }
  }
}
