/**
 * Keeps the configuration of one daemon up to date: a watcher reads the store, other daemons their peers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as membership from '@dogwoodstall/membership';
import type * as model from '@dogwoodstall/model';
import type * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import { callWithTimeout, toFailure, type Failure } from '@dogwoodstall/results';
import type * as most from 'most';
import { PullResponder } from './peer-pull.js';
import {
  defaultTimings,
  type Links,
  type ChangeLog,
  type Members,
  type SynchroniserTimings,
} from './dependencies.js';
import { RevisionDistributor } from './revision-distributor.js';
import { listZonePeers, startFromPeers } from './start-up.js';
import { ConfigurationState } from './state.js';
import { summariseZones, type DistributionStatus } from './status.js';
import { isSnapshotWriter, isWatcher } from './watcher-role.js';

const CHANGES_PER_SNAPSHOT = 200;
const JITTER_STEPS = 1000;
const CHANGES_PER_PAGE = 50;

/** Options of `ConfigurationSynchroniser`. */
export interface SynchroniserOptions {
  readonly log: ChangeLog;
  readonly members: Members;
  readonly links: Links;
  /** Returns the platform's list of VMs, for the start from peers. */
  readonly listedVms?: () => readonly membership.ListedVm[];
  readonly logger?: observability.ComponentLogger;
  readonly timings?: Partial<SynchroniserTimings>;
  readonly seed?: number;
}

/** Reads, applies and distributes the configuration of one daemon. */
export class ConfigurationSynchroniser {
  /** Emits each configuration that becomes active. */
  readonly configurations: most.Stream<model.Configuration>;

  /** The peer procedures that the synchroniser handles. */
  readonly handlers: Pick<peerLink.PeerHandlers, 'pushChange' | 'pullChanges' | 'summary'>;

  private readonly options: SynchroniserOptions;

  private readonly timings: SynchroniserTimings;

  private readonly state = new ConfigurationState();

  private readonly pullResponder = new PullResponder(this.state);

  private readonly random: membership.SeededRandom;

  private readonly distributor: RevisionDistributor;

  private readonly stopping = new AbortController();

  private storeReadAt: number | undefined;

  private snapshotRevision = 0;

  private watchFailures = 0;

  private startFailure: Failure | undefined;

  private runPromise: Promise<unknown> | undefined;

  constructor(options: SynchroniserOptions) {
    this.options = options;
    this.timings = { ...defaultTimings, ...options.timings };
    this.random = new membership.SeededRandom(
      options.seed ?? options.members.self.incarnation % 2 ** 31,
    );
    this.configurations = this.state.configurations;
    this.distributor = new RevisionDistributor({
      name: options.members.self.name,
      members: options.members,
      links: options.links,
      state: this.state,
      timings: this.timings,
      random: this.random,
      signal: this.stopping.signal,
      onStoreAge: (milliseconds) => this.recordStoreRead(performance.now() - milliseconds),
    });
    this.state.onReplace((configuration) => {
      options.members.announceRevision(configuration.revision);
      options.logger?.info('configuration revision is in force', {
        revision: configuration.revision,
      });
      this.distributor.push();
    });
    this.handlers = {
      pushChange: async (input, caller) => this.handlePush(input, caller),
      pullChanges: async (input) => this.pullResponder.respond(input),
      summary: async (input, caller) => this.handleSummary(input, caller),
    };
  }

  /** The active configuration; undefined until the daemon has one and may serve requests. */
  get current(): model.Configuration | undefined {
    return this.state.current;
  }

  /** The last failure to read a first configuration; undefined once there is one. */
  get lastStartFailure(): Failure | undefined {
    return this.state.current === undefined ? this.startFailure : undefined;
  }

  /** Starts reading; `configurations` emits the first configuration. */
  start(): void {
    this.runPromise ??= this.run();
  }

  /** Stops reading and distributing. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.distributor.stop();
    this.pullResponder.close();
    await this.runPromise;
  }

  /** Applies and distributes a change that this daemon committed. */
  async publish(change: model.Change): Promise<void> {
    if (this.state.applyChange(change) || change.revision <= this.state.revision) {
      return;
    }
    try {
      await this.readChangesFromStore();
    } catch (error) {
      // The change is committed; watchers and peers deliver it once the store is available again.
      this.logFailure(
        'accepted change could not be applied yet because earlier revisions are missing',
        error,
      );
    }
  }

  /** Records a revision that a peer announced by other means, such as membership probes. */
  recordRevision(peer: string, revision: number): void {
    this.distributor.recordRevision(peer, revision);
  }

  /** Returns the active revision of each zone and the time since the store was last read. */
  getStatusByZone(): DistributionStatus {
    const members = this.options.members.members();
    const highestRevision = Math.max(
      this.state.revision,
      ...members.map((member) => member.revision),
    );
    return {
      revision: this.state.revision,
      highestRevision,
      storeAgeMilliseconds: this.getStoreAge(),
      zones: summariseZones(members, highestRevision),
    };
  }

  private async run(): Promise<void> {
    await this.startUp();
    await Promise.all([this.distributor.run(), this.watch()]);
  }

  private async startUp(): Promise<void> {
    const { signal } = this.stopping;
    let nextStoreAttempt = 0;
    let attempt = 0;
    while (!signal.aborted && this.state.current === undefined) {
      if (performance.now() >= nextStoreAttempt) {
        attempt += 1;
        nextStoreAttempt = performance.now() + this.computeRetryDelay(attempt);
        await this.attemptStart('store', () => this.loadFromStore());
      }
      if (this.state.current === undefined) {
        await this.attemptStart('peers', () => this.startFromPeers());
      }
      if (this.state.current === undefined) {
        await this.pause(this.timings.startUp * (1 + this.getRandomFraction()));
      }
    }
  }

  private async attemptStart(source: string, read: () => Promise<void>): Promise<void> {
    try {
      await read();
    } catch (error) {
      this.startFailure = toFailure(error);
      this.logFailure(`the ${source} gave no configuration`, error);
    }
  }

  private async loadFromStore(): Promise<void> {
    this.state.replaceConfiguration(await this.options.log.readLatest());
    this.recordStoreRead(performance.now());
  }

  private async startFromPeers(): Promise<void> {
    const { members, links, listedVms } = this.options;
    const { self } = members;
    await startFromPeers({
      name: self.name,
      peers: listZonePeers(self, members.members(), listedVms?.() ?? []),
      links,
      state: this.state,
      timings: this.timings,
    });
  }

  private async readChangesFromStore(): Promise<void> {
    let count = CHANGES_PER_PAGE;
    while (count === CHANGES_PER_PAGE) {
      const changes = await this.options.log.readChanges(this.state.revision, CHANGES_PER_PAGE);
      changes.forEach((change) => this.state.applyChange(change));
      count = changes.length;
    }
    this.recordStoreRead(performance.now());
  }

  private async watch(): Promise<void> {
    const { signal } = this.stopping;
    const { members } = this.options;
    while (!signal.aborted) {
      if (!isWatcher(members.self, members.members())) {
        this.watchFailures = 0;
        await this.pause(this.timings.role);
        continue;
      }
      let hasTimedOut = false;
      try {
        await callWithTimeout(this.timings.watch, signal, async (timeoutSignal) => {
          timeoutSignal.addEventListener('abort', () => {
            hasTimedOut = !signal.aborted;
          });
          await this.follow(timeoutSignal);
        });
      } catch (error) {
        if (!hasTimedOut && !signal.aborted) {
          this.logFailure('store watch failed', error);
        }
      }
      if (!hasTimedOut) {
        this.watchFailures += 1;
        await this.pause(this.computeRetryDelay(this.watchFailures));
      }
    }
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const changes = this.options.log.follow(this.state.revision, signal, () => {
      this.recordStoreRead(performance.now());
      this.watchFailures = 0;
    });
    for await (const change of changes) {
      this.state.applyChange(change);
      await this.writeSnapshotIfDue();
    }
  }

  private async writeSnapshotIfDue(): Promise<void> {
    const { log, members } = this.options;
    const { current } = this.state;
    const isDue = this.state.revision - this.snapshotRevision >= CHANGES_PER_SNAPSHOT;
    if (current === undefined || !isDue || !isSnapshotWriter(members.self, members.members())) {
      return;
    }
    try {
      this.snapshotRevision = await log.writeSnapshot(current);
    } catch (error) {
      this.logFailure('snapshot was not written', error);
    }
  }

  private async handlePush(
    input: peerLink.ProcedureInput<'pushChange'>,
    caller: peerLink.Caller,
  ): Promise<peerLink.ProcedureOutput<'pushChange'>> {
    if (input.change !== undefined) {
      this.state.applyChange(input.change);
    }
    this.distributor.recordRevision(caller.name, input.revision);
    return { revision: this.state.revision };
  }

  private async handleSummary(
    input: peerLink.ProcedureInput<'summary'>,
    caller: peerLink.Caller,
  ): Promise<peerLink.ProcedureOutput<'summary'>> {
    this.distributor.recordRevision(caller.name, input.revision);
    return {
      revision: this.state.revision,
      hasConfiguration: this.state.current !== undefined,
      storeAgeMilliseconds: this.getStoreAge(),
    };
  }

  private getStoreAge(): number | undefined {
    return this.storeReadAt === undefined ? undefined : performance.now() - this.storeReadAt;
  }

  private recordStoreRead(at: number): void {
    this.storeReadAt = Math.max(this.storeReadAt ?? -Infinity, at);
  }

  private getRandomFraction(): number {
    return this.random.integer(JITTER_STEPS) / JITTER_STEPS;
  }

  // Exponential backoff with jitter: after an outage of hours the watchers reconnect spread over the whole
  // range, after a single failure within two seconds.
  private computeRetryDelay(failures: number): number {
    const { retryMinimum, retryMaximum } = this.timings;
    const limit = Math.min(retryMaximum, retryMinimum * 2 ** failures);
    return retryMinimum + this.getRandomFraction() * (limit - retryMinimum);
  }

  private async pause(milliseconds: number): Promise<void> {
    await delay(milliseconds, undefined, { signal: this.stopping.signal }).catch(() => {});
  }

  private logFailure(message: string, error: unknown): void {
    const failure = toFailure(error);
    this.options.logger?.warn(message, { result: failure.kind, reason: failure.message });
  }
}
