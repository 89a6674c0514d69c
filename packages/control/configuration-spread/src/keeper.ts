/**
 * Keeps the configuration of one daemon up to date: from the store as a watcher, otherwise from peers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as membership from '@dogwoodstall/membership';
import type * as model from '@dogwoodstall/model';
import type * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import { callWithTimeout, toFailure, type Failure } from '@dogwoodstall/results';
import type * as most from 'most';
import { PullAnswers } from './peer-source.js';
import { defaultTimings, type Links, type Log, type Members, type SpreadTimings } from './ports.js';
import { Spreader } from './spreader.js';
import { listZone, startFromPeers } from './start-up.js';
import { ConfigurationState } from './state.js';
import { summariseZones, type SpreadStatus } from './status.js';
import { isSnapshotWriter, isWatcher } from './watcher-role.js';

const SNAPSHOT_CHANGES = 200;
const JITTER_STEPS = 1000;
const PAGE_CHANGES = 50;

/** Options of the keeper. */
export interface KeeperOptions {
  readonly log: Log;
  readonly members: Members;
  readonly links: Links;
  /** The platform's list of VMs, for the start from peers. */
  readonly listedMachines?: () => readonly membership.ListedVm[];
  readonly logger?: observability.ComponentLogger;
  readonly timings?: Partial<SpreadTimings>;
  readonly seed?: number;
}

/** The configuration of one daemon. */
export class ConfigurationKeeper {
  /** Each configuration that comes into force. */
  readonly configurations: most.Stream<model.Configuration>;

  /** The procedures that the keeper answers. */
  readonly handlers: Pick<peerLink.PeerHandlers, 'pushChange' | 'pullChanges' | 'summary'>;

  private readonly options: KeeperOptions;

  private readonly timings: SpreadTimings;

  private readonly state = new ConfigurationState();

  private readonly answers = new PullAnswers(this.state);

  private readonly random: membership.SeededRandom;

  private readonly spreader: Spreader;

  private readonly stopping = new AbortController();

  private storeReadAt: number | undefined;

  private snapshotRevision = 0;

  private watchFailures = 0;

  private startFailure: Failure | undefined;

  private task: Promise<unknown> | undefined;

  constructor(options: KeeperOptions) {
    this.options = options;
    this.timings = { ...defaultTimings, ...options.timings };
    this.random = new membership.SeededRandom(
      options.seed ?? options.members.self.incarnation % 2 ** 31,
    );
    this.configurations = this.state.configurations;
    this.spreader = new Spreader({
      name: options.members.self.name,
      members: options.members,
      links: options.links,
      state: this.state,
      timings: this.timings,
      random: this.random,
      signal: this.stopping.signal,
      onStoreAge: (milliseconds) => this.noteStoreRead(performance.now() - milliseconds),
    });
    this.state.onReplace((configuration) => {
      options.members.announceRevision(configuration.revision);
      options.logger?.info('configuration revision is in force', {
        revision: configuration.revision,
      });
      this.spreader.push();
    });
    this.handlers = {
      pushChange: async (input, caller) => this.answerPush(input, caller),
      pullChanges: async (input) => this.answers.answer(input),
      summary: async (input, caller) => this.answerSummary(input, caller),
    };
  }

  /** The configuration in force; undefined until the daemon knows one and may serve. */
  get current(): model.Configuration | undefined {
    return this.state.current;
  }

  /** Why there is no configuration yet; undefined once there is one. */
  get lastStartFailure(): Failure | undefined {
    return this.state.current === undefined ? this.startFailure : undefined;
  }

  /** Starts reading; the first configuration arrives in `configurations`. */
  start(): void {
    this.task ??= this.run();
  }

  /** Stops reading and spreading. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.spreader.stop();
    this.answers.close();
    await this.task;
  }

  /** Puts a change in force that this daemon committed, and spreads it. */
  async publish(change: model.Change): Promise<void> {
    if (this.state.applyChange(change) || change.revision <= this.state.revision) {
      return;
    }
    try {
      await this.readFromStore();
    } catch (error) {
      // The change is accepted; watchers and peers bring it when the store answers again.
      this.logFailure('accepted change waits for the revisions before it', error);
    }
  }

  /** Takes in the revision that a peer told by other means, such as the probes of membership. */
  noteRevision(peer: string, revision: number): void {
    this.spreader.noteRevision(peer, revision);
  }

  /** Returns the revision in force in each zone and the age of the knowledge of the store. */
  statusByZone(): SpreadStatus {
    const members = this.options.members.members();
    const highestRevision = Math.max(
      this.state.revision,
      ...members.map((member) => member.revision),
    );
    return {
      revision: this.state.revision,
      highestRevision,
      storeAgeMilliseconds: this.storeAge(),
      zones: summariseZones(members, highestRevision),
    };
  }

  private async run(): Promise<void> {
    await this.startUp();
    await Promise.all([this.spreader.run(), this.watch()]);
  }

  private async startUp(): Promise<void> {
    const { signal } = this.stopping;
    let nextStoreTry = 0;
    let attempt = 0;
    while (!signal.aborted && this.state.current === undefined) {
      if (performance.now() >= nextStoreTry) {
        attempt += 1;
        nextStoreTry = performance.now() + this.retryMilliseconds(attempt);
        await this.tryStart('store', () => this.readWhole());
      }
      if (this.state.current === undefined) {
        await this.tryStart('peers', () => this.startFromPeers());
      }
      if (this.state.current === undefined) {
        await this.pause(this.timings.startUp * (1 + this.fraction()));
      }
    }
  }

  private async tryStart(source: string, read: () => Promise<void>): Promise<void> {
    try {
      await read();
    } catch (error) {
      this.startFailure = toFailure(error);
      this.logFailure(`the ${source} gave no configuration`, error);
    }
  }

  private async readWhole(): Promise<void> {
    this.state.replaceWhole(await this.options.log.readLatest());
    this.noteStoreRead(performance.now());
  }

  private async startFromPeers(): Promise<void> {
    const { members, links, listedMachines } = this.options;
    const { self } = members;
    await startFromPeers({
      name: self.name,
      peers: listZone(self, members.members(), listedMachines?.() ?? []),
      links,
      state: this.state,
      timings: this.timings,
    });
  }

  private async readFromStore(): Promise<void> {
    let count = PAGE_CHANGES;
    while (count === PAGE_CHANGES) {
      const changes = await this.options.log.readChanges(this.state.revision, PAGE_CHANGES);
      changes.forEach((change) => this.state.applyChange(change));
      count = changes.length;
    }
    this.noteStoreRead(performance.now());
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
      let isOver = false;
      try {
        await callWithTimeout(this.timings.watch, signal, async (limited) => {
          limited.addEventListener('abort', () => {
            isOver = !signal.aborted;
          });
          await this.follow(limited);
        });
      } catch (error) {
        if (!isOver && !signal.aborted) {
          this.logFailure('store watch failed', error);
        }
      }
      if (!isOver) {
        this.watchFailures += 1;
        await this.pause(this.retryMilliseconds(this.watchFailures));
      }
    }
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const changes = this.options.log.follow(this.state.revision, signal, () => {
      this.noteStoreRead(performance.now());
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
    const isDue = this.state.revision - this.snapshotRevision >= SNAPSHOT_CHANGES;
    if (current === undefined || !isDue || !isSnapshotWriter(members.self, members.members())) {
      return;
    }
    try {
      this.snapshotRevision = await log.writeSnapshot(current);
    } catch (error) {
      this.logFailure('snapshot was not written', error);
    }
  }

  private async answerPush(
    input: peerLink.ProcedureInput<'pushChange'>,
    caller: peerLink.Caller,
  ): Promise<peerLink.ProcedureOutput<'pushChange'>> {
    if (input.change !== undefined) {
      this.state.applyChange(input.change);
    }
    this.spreader.noteRevision(caller.name, input.revision);
    return { revision: this.state.revision };
  }

  private async answerSummary(
    input: peerLink.ProcedureInput<'summary'>,
    caller: peerLink.Caller,
  ): Promise<peerLink.ProcedureOutput<'summary'>> {
    this.spreader.noteRevision(caller.name, input.revision);
    return {
      revision: this.state.revision,
      hasConfiguration: this.state.current !== undefined,
      storeAgeMilliseconds: this.storeAge(),
    };
  }

  private storeAge(): number | undefined {
    return this.storeReadAt === undefined ? undefined : performance.now() - this.storeReadAt;
  }

  private noteStoreRead(at: number): void {
    this.storeReadAt = Math.max(this.storeReadAt ?? -Infinity, at);
  }

  private fraction(): number {
    return this.random.integer(JITTER_STEPS) / JITTER_STEPS;
  }

  // The range doubles with each failure up to its limit: after an outage of hours the watchers come
  // back spread over the whole range, after a single failure within two seconds.
  private retryMilliseconds(failures: number): number {
    const { retryMinimum, retryMaximum } = this.timings;
    const limit = Math.min(retryMaximum, retryMinimum * 2 ** failures);
    return retryMinimum + this.fraction() * (limit - retryMinimum);
  }

  private async pause(milliseconds: number): Promise<void> {
    await delay(milliseconds, undefined, { signal: this.stopping.signal }).catch(() => {});
  }

  private logFailure(message: string, error: unknown): void {
    const failure = toFailure(error);
    this.options.logger?.warn(message, { result: failure.kind, reason: failure.message });
  }
}
