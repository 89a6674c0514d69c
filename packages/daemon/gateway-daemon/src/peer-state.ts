/**
 * How a daemon finds the others and learns what they know.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as datagrams from '@dogwoodstall/datagrams';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type { Directory, State } from './directory.js';
import type { Member, MemberTable } from './member.js';
import type { DirectorySource } from './sources.js';
import { type StateRequest, requestState } from './state-page.js';

/** Daemons that start together have all written their entries by then. */
const JOIN_PAUSE_MILLISECONDS = 700;
const JOIN_CALL_MILLISECONDS = 700;
const JOIN_RETRY_MILLISECONDS = 800;
/** States that are kept encoded for further daemons. */
const MAXIMUM_STATES = 4;
/** Entries without a dispatcher's work to do fetch changes of the endpoints at this interval. */
const LAZY_FETCH_MILLISECONDS = 2000;

/** Options of `PeerState`. */
export interface PeerStateOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  readonly source: DirectorySource;
  /** Peer addresses that are asked while the store does not answer. */
  readonly seeds: () => readonly string[];
  /** Whether this daemon dispatches or would be the next to do so. */
  readonly isDispatching: () => boolean;
  readonly isStopping: () => boolean;
  readonly logger: observability.ComponentLogger;
}

/** Exchanges members, configuration and endpoints with other daemons. */
export class PeerState {
  private fetching = false;

  private lastFetchAt = -Infinity;

  private joined: number | undefined;

  private readonly closing = new AbortController();

  /** States by what they hold, so that daemons that ask for the same get the same object. */
  private readonly states = new Map<string, State>();

  constructor(private readonly options: PeerStateOptions) {}

  /** Monotonic milliseconds at which the store had told the other daemons; undefined before. */
  get joinedAt(): number | undefined {
    return this.joined;
  }

  /** Ends calls to the store. */
  close(): void {
    this.closing.abort();
  }

  /** Fetches the state of a daemon that told about newer knowledge. */
  considerFetch(
    known: Pick<datagrams.Pong, 'configurationVersion' | 'directoryRevision'>,
    host: string,
    membersDiffer: boolean,
  ): void {
    const lateEndpoints = known.directoryRevision > this.options.directory.endpointRevision;
    const mayWait = this.options.directory.hasEndpoints && !this.options.isDispatching();
    const due = performance.now() - this.lastFetchAt > LAZY_FETCH_MILLISECONDS;
    const wanted =
      known.configurationVersion > this.options.directory.configurationVersion ||
      (lateEndpoints && (!mayWait || due)) ||
      (membersDiffer && due);
    const member = this.options.members.list().find((candidate) => candidate.host === host);
    if (wanted && !this.fetching && member !== undefined) {
      this.fetchState(member.peerAddress).catch((error: unknown) => {
        const { kind, message } = results.toFailure(error);
        this.options.logger.warn('state of a daemon could not be read', {
          from: member.name,
          result: kind,
          reason: message,
        });
      });
    }
  }

  private async fetchState(address: string): Promise<void> {
    this.fetching = true;
    this.lastFetchAt = performance.now();
    try {
      const state = await requestState(address, {
        configurationVersion: this.options.directory.configurationVersion,
        directoryRevision: this.options.directory.endpointRevision,
        members: this.options.members.list(),
      });
      this.adoptState(state, address);
    } finally {
      this.fetching = false;
    }
  }

  private adoptState(state: State, source: string): void {
    for (const member of state.members) {
      this.addMember(member, source);
    }
    if (state.configuration !== undefined) {
      this.options.directory.putConfiguration(state.configuration, source);
    }
    if (state.endpoints !== undefined) {
      this.options.directory.replaceEndpoints(state.endpoints, state.directoryRevision, source);
    }
  }

  private addMember(member: Member, source: string): void {
    if (this.options.members.add(member)) {
      const { name, host } = member;
      this.options.logger.info('daemon is known', { name, host, source });
    }
  }

  /** Answers the request of another daemon. */
  answerState(request: StateRequest): State {
    for (const member of request.members) {
      this.addMember(member, 'peer');
    }
    const { endpointRevision, configurationVersion } = this.options.directory;
    const newer = configurationVersion > request.configurationVersion;
    const changed = endpointRevision > request.directoryRevision;
    const content = [newer && configurationVersion, changed && endpointRevision];
    const key = `${content.join(' ')} ${this.options.members.digest}`;
    let state = this.states.get(key);
    if (state === undefined) {
      state = this.describeState(newer, changed);
      this.states.set(key, state);
      if (this.states.size > MAXIMUM_STATES) {
        this.states.delete(this.states.keys().next().value as string);
      }
    }
    return state;
  }

  private describeState(newer: boolean, changed: boolean): State {
    const { routes, endpointRevision } = this.options.directory;
    return {
      ...(newer && routes !== undefined && { configuration: routes.configuration }),
      ...(changed && { endpoints: this.options.directory.listAll() }),
      directoryRevision: endpointRevision,
      members: this.options.members.list(),
    };
  }

  /**
   * Finds the other daemons in the store, or through the seeds while the store does not answer; resolves when the store
   * has told them.
   */
  async join(): Promise<void> {
    const { source } = this.options;
    const { signal } = this.closing;
    const readMembers = (allowStale: boolean): Promise<boolean> =>
      results.callWithTimeout(JOIN_CALL_MILLISECONDS, signal, (limited) =>
        this.readMembers(allowStale, limited),
      );
    while (!this.options.isStopping()) {
      try {
        // After a restart the entries of all daemons are still there.
        if (!(await readMembers(true))) {
          await results.callWithTimeout(JOIN_CALL_MILLISECONDS, signal, (limited) =>
            source.writeMember(this.options.members.self, limited),
          );
          await delay(JOIN_PAUSE_MILLISECONDS);
          await readMembers(false);
        }
        this.joined = performance.now();
        return;
      } catch (error) {
        const { kind, message } = results.toFailure(error);
        this.options.logger.warn('store could not be reached to join', {
          result: kind,
          reason: message,
        });
        await this.askSeeds();
        await delay(JOIN_RETRY_MILLISECONDS);
      }
    }
  }

  /** Reads the daemons from the store; returns whether this one is among them at its present address. */
  private async readMembers(allowStale: boolean, signal: AbortSignal): Promise<boolean> {
    const { self } = this.options.members;
    let found = false;
    for (const member of await this.options.source.readMembers({ allowStale }, signal)) {
      this.addMember(member, 'store');
      found ||= member.name === self.name && member.host === self.host;
    }
    return found;
  }

  private async askSeeds(): Promise<void> {
    const own = this.options.members.self.peerAddress;
    for (const seed of this.options.seeds()) {
      if (seed !== own) {
        try {
          await this.fetchState(seed);
        } catch (error) {
          this.options.logger.info('seed did not answer', {
            seed,
            result: results.toFailure(error).kind,
          });
        }
      }
    }
  }
}
