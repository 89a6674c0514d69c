/**
 * Joins the fleet and exchanges members, configuration and endpoints with other daemons.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type { StateVersions } from './deferred-reports.js';
import type { DirectorySource } from './directory-source.js';
import type { Directory, State } from './directory.js';
import { type Member, type MemberTable, STORE_WATCHER_ROLE } from './member.js';
import { findStartPlace } from './start-tree.js';
import { type StateFetchEvent, StateFetcher } from './state-fetcher.js';
import type { StateRequest } from './state-server.js';
import { isLater, readPosition } from './store-position.js';

/** Wait before the members are read again, so that daemons that start together have all registered. */
const JOIN_PAUSE_MILLISECONDS = 700;
const JOIN_CALL_MILLISECONDS = 700;
const JOIN_RETRY_MILLISECONDS = 800;
/** Number of cached states; `StateServer` caches their encoded form. */
const MAXIMUM_STATES = 16;
/** Number of new members that a log line names. */
const LOGGED_MEMBERS = 3;
/** Time for which a daemon that starts as well may wait for its own state before it answers. */
const FIRST_STATE_WAIT_MILLISECONDS = 300;

/** Options of `PeerState`. */
export interface PeerStateOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  readonly source: DirectorySource;
  /** Peer addresses that are queried while the store does not respond. */
  readonly seeds: () => readonly string[];
  /** Whether this daemon is the dispatcher or the standby of any cell. */
  readonly isDispatching: () => boolean;
  readonly isStopping: () => boolean;
  readonly logger: observability.ComponentLogger;
}

/** Keeps members, configuration and endpoints of one daemon in step with other daemons. */
export class PeerState {
  private readonly fetcher: StateFetcher;

  private joinTime: number | undefined;

  private readonly closing = new AbortController();

  /** States by content, so that daemons that request the same state get the same object and its cached encoding. */
  private readonly states = new Map<string, State>();

  constructor(private readonly options: PeerStateOptions) {
    this.fetcher = new StateFetcher({
      ...options,
      importState: (state, source) => this.importState(state, source),
      closing: this.closing.signal,
    });
  }

  /** Monotonic milliseconds at which the members had been read from the store; undefined before. */
  get joinedAt(): number | undefined {
    return this.joinTime;
  }

  /** Aborts calls to the store and to other daemons. */
  close(): void {
    this.closing.abort();
  }

  /** Fetches the state of a daemon whose ping or pong shows that it has something newer. */
  fetchIfNewer(versions: StateVersions, host: string): void {
    this.fetcher.fetchIfNewer(versions, host);
  }

  /** Number of events of the fetches so far. */
  get fetchCounts(): ReadonlyMap<StateFetchEvent, number> {
    return this.fetcher.eventCounts;
  }

  private importState(state: State, source: string): void {
    this.addMembers(state.members ?? [], source);
    if (state.configuration !== undefined) {
      this.options.directory.activateConfiguration(state.configuration, source);
    }
    const { directory } = this.options;
    const { endpoints, changes, unconfirmed } = state;
    const position = readPosition(state, directory.position);
    if (endpoints !== undefined) {
      directory.replaceEndpoints(endpoints, position, source, unconfirmed);
      directory.adoptPosition(position);
    } else if (
      changes !== undefined &&
      directory.changeEndpoints(changes.puts, changes.removed, position, source)
    ) {
      directory.adoptPosition(position);
    }
  }

  // One line for all, because each daemon of a large fleet learns of all others when they start together.
  private addMembers(members: readonly Member[], source: string): void {
    const added = members.filter((member) => this.options.members.add(member));
    if (added.length > 0) {
      this.options.logger.info('daemons are known', {
        count: added.length,
        first: added.slice(0, LOGGED_MEMBERS).map(({ name, host }) => `${name} ${host}`),
        total: this.options.members.list().length,
        source,
      });
    }
  }

  /** Responds to a request; a daemon without a state waits for it as long as the request allows. */
  async provideState(request: StateRequest): Promise<State> {
    const wait = Math.min(request.waitMilliseconds ?? 0, FIRST_STATE_WAIT_MILLISECONDS);
    if (wait > 0) {
      await this.options.directory.waitUntilComplete(wait);
    }
    return this.handleStateRequest(request);
  }

  /** Adds the members of a request and returns what the requesting daemon does not know yet. */
  handleStateRequest(request: StateRequest): State {
    this.addMembers(request.members, 'peer');
    const hasOtherMembers = request.memberDigest !== this.options.members.digest;
    const { directory } = this.options;
    const { routes, position, configurationVersion } = directory;
    const requested = readPosition(request, position);
    const hasNewerConfiguration = configurationVersion > request.configurationVersion;
    const hasNewerEndpoints = isLater(position, requested);
    const unconfirmed = directory.listUnconfirmed();
    const changes =
      hasNewerEndpoints && request.acceptsChanges === true && unconfirmed.length === 0
        ? directory.listChangesSince(requested)
        : undefined;
    const content = [
      hasNewerConfiguration && configurationVersion,
      hasNewerEndpoints && [position.era, position.revision, ...unconfirmed],
      changes !== undefined && requested.revision,
      hasOtherMembers && this.options.members.digest,
    ];
    const key = content.join(' ');
    let state = this.states.get(key);
    if (state === undefined) {
      const endpoints = changes === undefined ? { endpoints: directory.listStored() } : { changes };
      const held = unconfirmed.length > 0 ? { unconfirmed } : {};
      state = {
        ...(hasNewerConfiguration &&
          routes !== undefined && { configuration: routes.configuration }),
        ...(hasNewerEndpoints && { ...endpoints, ...held }),
        ...(hasOtherMembers && { members: this.options.members.list() }),
        directoryRevision: position.revision,
        directoryEra: position.era,
      };
      this.states.set(key, state);
      if (this.states.size > MAXIMUM_STATES) {
        this.states.delete(this.states.keys().next().value as string);
      }
    }
    return state;
  }

  /**
   * Registers this daemon in the store and reads the others from it. While the store does not respond, queries the seeds
   * and retries. Then requests the first state from other daemons.
   */
  async join(): Promise<void> {
    const { signal } = this.closing;
    const readMembers = (allowStale: boolean): Promise<boolean> =>
      results.callWithTimeout(JOIN_CALL_MILLISECONDS, signal, (limited) =>
        this.readMembers(allowStale, limited),
      );
    while (!this.options.isStopping()) {
      try {
        // After a restart the entry of this daemon is still in the store and need not be written again.
        if (!(await readMembers(true))) {
          await this.register();
          await delay(JOIN_PAUSE_MILLISECONDS);
          await readMembers(false);
        }
        this.joinTime = performance.now();
        break;
      } catch (error) {
        const { kind, message } = results.toFailure(error);
        this.options.logger.warn('joining failed because the store is unavailable', {
          result: kind,
          reason: message,
        });
        await this.fetchFromSeeds();
        await delay(JOIN_RETRY_MILLISECONDS);
      }
    }
    await this.fetchFirstState();
  }

  /** Requests the state from the daemons that get it before this one when all start together. */
  private async fetchFirstState(): Promise<void> {
    const { members, directory, isStopping, logger } = this.options;
    const { providers } = findStartPlace(members.rank(STORE_WATCHER_ROLE), members.self);
    for (const { name: from, peerAddress } of providers) {
      await this.fetcher.reportedFetch;
      if (directory.isComplete || isStopping()) {
        return;
      }
      await this.fetcher.fetch(peerAddress, {
        waitMilliseconds: FIRST_STATE_WAIT_MILLISECONDS,
        onFailure: (fields) => logger.info('fetching the first state failed', { from, ...fields }),
      });
    }
  }

  /** Writes the entry of this daemon again, because the store may have lost it. Retries until the store has it. */
  async registerAgain(): Promise<void> {
    while (!this.options.isStopping()) {
      try {
        await this.register();
        return;
      } catch (error) {
        const { kind, message } = results.toFailure(error);
        this.options.logger.warn('registering again failed', { result: kind, reason: message });
        await delay(JOIN_RETRY_MILLISECONDS);
      }
    }
  }

  private register(): Promise<void> {
    const { source, members } = this.options;
    return results.callWithTimeout(JOIN_CALL_MILLISECONDS, this.closing.signal, (limited) =>
      source.writeMember(members.self, limited),
    );
  }

  /** Reads the daemons from the store; returns whether this one is registered with its current host. */
  private async readMembers(allowStale: boolean, signal: AbortSignal): Promise<boolean> {
    const { self } = this.options.members;
    let found = false;
    const stored = await this.options.source.readMembers({ allowStale }, signal);
    for (const member of stored) {
      found ||= member.name === self.name && member.host === self.host;
    }
    this.addMembers(stored, 'store');
    return found;
  }

  private async fetchFromSeeds(): Promise<void> {
    const ownAddress = this.options.members.self.peerAddress;
    for (const seed of this.options.seeds()) {
      if (seed !== ownAddress) {
        await this.fetcher.reportedFetch;
        await this.fetcher.fetch(seed, {
          onFailure: (fields) =>
            this.options.logger.info('fetching the state from a seed failed', { seed, ...fields }),
        });
      }
    }
  }
}
