/**
 * Reads and watches the platform's store while this daemon is responsible for it.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type { Endpoint } from '@dogwoodstall/traffic';
import type { DirectorySource } from './directory-source.js';
import type { Directory } from './directory.js';
import type { StoreContactTracker } from './store-contact-tracker.js';
import type { SuspensionDetector } from './suspension-detector.js';

/** Pause between two watch calls for endpoints: heartbeats change entries many times a second, and calls are paid for. */
const ENDPOINT_PAUSE_MILLISECONDS = 350;
/** The same pause of a standby, which learns of most changes from the first watcher; within the time limit of a drain. */
const STANDBY_PAUSE_MILLISECONDS = 1000;
/** Maximum wait of one watch call. It also bounds the time after which a broken connection is detected. */
const ENDPOINT_WAIT_MILLISECONDS = 500;
const CONFIGURATION_WAIT_MILLISECONDS = 2000;
/** Timeout of a call, in addition to its wait. */
const CALL_TIMEOUT_MILLISECONDS = 500;
const FIRST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 1500;
/** Interval at which a daemon that does not watch the store checks whether it has become responsible. */
const IDLE_CHECK_MILLISECONDS = 100;
/** Interval of the same check until the directory is complete, because callers cannot be served before. */
const START_CHECK_MILLISECONDS = 20;

/** Options of `StoreWatcher`. */
export interface StoreWatcherOptions {
  readonly source: DirectorySource;
  readonly directory: Directory;
  readonly storeContact: StoreContactTracker;
  readonly suspension: Pick<SuspensionDetector, 'check' | 'resumedAt'>;
  readonly isResponsible: () => boolean;
  /** Whether another daemon that ranks before this one watches the store too. */
  readonly isStandby: () => boolean;
  /** Called when the endpoints are those of the store at a time after the latest suspension of this daemon. */
  readonly onCurrent: () => void;
  /** Called when the store stops responding to this daemon. */
  readonly onLost: () => void;
  readonly logger: observability.ComponentLogger;
}

/** Keeps the directory up to date with the configuration and the endpoints in the store. */
export class StoreWatcher {
  private readonly closing = new AbortController();

  private contactAt = -Infinity;

  private lost = false;

  private waiting: Promise<void> | undefined;

  constructor(private readonly options: StoreWatcherOptions) {}

  /** Monotonic milliseconds of the last response of the store. */
  get lastContactAt(): number {
    return this.contactAt;
  }

  /** Whether the last call failed. */
  get isLost(): boolean {
    return this.lost;
  }

  /** Starts watching; it goes on until `stop` is called. */
  start(): void {
    for (const watch of [this.watchEndpoints, this.watchConfiguration]) {
      this.keepWatching(watch);
    }
  }

  stop(): void {
    this.closing.abort();
  }

  /** Starts again after an error of what is called with the news, which `repeat` can't attribute to the store. */
  private keepWatching(watch: () => Promise<void>): void {
    this.repeat(watch).catch((error: unknown) => {
      this.options.logger.error('watching the store failed', { reason: String(error) });
      setTimeout(() => this.keepWatching(watch), LONGEST_RETRY_MILLISECONDS).unref();
    });
  }

  private async repeat(watch: () => Promise<void>): Promise<void> {
    let retry = FIRST_RETRY_MILLISECONDS;
    while (!this.closing.signal.aborted) {
      try {
        await this.waitUntilResponsible();
        await watch();
        retry = FIRST_RETRY_MILLISECONDS;
      } catch (error) {
        if (this.closing.signal.aborted) {
          return;
        }
        if (!results.isFailure(error, 'StoreHistoryLost')) {
          this.recordFailure(error);
          await delay(retry);
          retry = Math.min(LONGEST_RETRY_MILLISECONDS, retry * 2);
        }
      }
    }
  }

  /** Both watches wait for the same checks. */
  private async waitUntilResponsible(): Promise<void> {
    this.waiting ??= this.checkUntilResponsible();
    try {
      await this.waiting;
    } finally {
      this.waiting = undefined;
    }
  }

  private async checkUntilResponsible(): Promise<void> {
    while (!this.options.isResponsible()) {
      const pause = this.options.directory.isComplete
        ? IDLE_CHECK_MILLISECONDS
        : START_CHECK_MILLISECONDS;
      await delay(pause, undefined, { signal: this.closing.signal });
    }
  }

  private readonly watchEndpoints = async (): Promise<void> => {
    const { source, directory, suspension, onCurrent } = this.options;
    const readAt = performance.now();
    const snapshot = await this.callWithTimeout(CALL_TIMEOUT_MILLISECONDS, (signal) =>
      source.readEndpoints(signal),
    );
    this.recordContact();
    directory.replaceEndpoints(snapshot.endpoints, snapshot, 'store');
    if (readAt > suspension.resumedAt) {
      onCurrent();
    }
    let { revision } = snapshot;
    while (this.options.isResponsible()) {
      const pause = this.options.isStandby()
        ? STANDBY_PAUSE_MILLISECONDS
        : ENDPOINT_PAUSE_MILLISECONDS;
      await delay(pause, undefined, { signal: this.closing.signal });
      const wait = ENDPOINT_WAIT_MILLISECONDS;
      const after = revision;
      const watchedAt = performance.now();
      const changes = await this.callWithTimeout(wait + CALL_TIMEOUT_MILLISECONDS, (signal) =>
        source.watchEndpoints(after, wait, signal),
      );
      this.recordContact();
      revision = changes.revision;
      const puts: Endpoint[] = [];
      const removed: string[] = [];
      for (const change of changes.changes) {
        if (change.kind === 'put') {
          puts.push(change.endpoint);
        } else {
          removed.push(change.id);
        }
      }
      if (
        changes.era !== snapshot.era ||
        (!directory.changeEndpoints(puts, removed, changes, 'store') && changes.changes.length > 0)
      ) {
        // The store has lost changes, or another daemon knew later ones already, whose list may lack one of these.
        return;
      }
      if (watchedAt > suspension.resumedAt) {
        onCurrent();
      }
    }
  };

  private readonly watchConfiguration = async (): Promise<void> => {
    const { source, directory } = this.options;
    let stored = await this.callWithTimeout(CALL_TIMEOUT_MILLISECONDS, (signal) =>
      source.readConfiguration(signal),
    );
    while (this.options.isResponsible()) {
      this.recordContact();
      if (stored.configuration !== undefined) {
        directory.activateConfiguration(stored.configuration, 'store');
      }
      const wait = CONFIGURATION_WAIT_MILLISECONDS;
      const { era, revision } = stored;
      stored = await this.callWithTimeout(wait + CALL_TIMEOUT_MILLISECONDS, (signal) =>
        source.watchConfiguration(revision, wait, signal),
      );
      if (stored.era !== era) {
        // Changes up to the revision that were made again are not reported.
        return;
      }
    }
  };

  private async callWithTimeout<Value>(
    milliseconds: number,
    send: (signal: AbortSignal) => Promise<Value>,
  ): Promise<Value> {
    const { suspension } = this.options;
    for (;;) {
      const startedAt = performance.now();
      try {
        return await results.callWithTimeout(milliseconds, this.closing.signal, send);
      } catch (error) {
        suspension.check();
        // The timeout of a call that was pending during a suspension says nothing about the store.
        if (suspension.resumedAt < startedAt || this.closing.signal.aborted) {
          throw error;
        }
      }
    }
  }

  private recordContact(): void {
    this.options.suspension.check();
    const now = performance.now();
    const hadContact = this.contactAt > -Infinity;
    if (this.lost) {
      this.lost = false;
      this.options.logger.info('store answers again', {
        awayMilliseconds: hadContact ? Math.round(now - this.contactAt) : -1,
      });
    }
    this.contactAt = now;
    this.options.storeContact.record(now);
  }

  private recordFailure(error: unknown): void {
    this.options.storeContact.recordFailure(performance.now());
    if (!this.lost) {
      this.lost = true;
      const { kind, message } = results.toFailure(error);
      this.options.logger.warn('store does not answer', { result: kind, reason: message });
      this.options.onLost();
    }
  }
}
