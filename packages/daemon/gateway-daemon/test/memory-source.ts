/**
 * The connection of one daemon to the in-memory store.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { FailureError } from '@dogwoodstall/results';
import type * as gatewayDaemon from '../src/index.js';
import type { MemoryStore } from './memory-store.js';

/** Implements the store interface of one daemon, and can reject all its calls. */
export class MemorySource implements gatewayDaemon.DirectorySource {
  /** Whether the store rejects the calls of this daemon. */
  unavailable = false;

  calls = 0;

  /** Number of calls that read all endpoints. */
  fullReads = 0;

  constructor(private readonly store: MemoryStore) {}

  readEndpoints(): ReturnType<gatewayDaemon.DirectorySource['readEndpoints']> {
    this.fullReads += 1;
    return this.respond(() => ({
      endpoints: [...this.store.endpoints.values()],
      ...this.position,
    }));
  }

  async watchEndpoints(
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<gatewayDaemon.EndpointChanges> {
    this.checkHistory(after);
    await this.waitFor(
      () => this.store.changes.some(({ revision }) => revision > after),
      wait,
      signal,
    );
    return this.respond(() => ({
      changes: this.store.changes
        .filter(({ revision }) => revision > after)
        .map(({ change }) => change),
      ...this.position,
    }));
  }

  readConfiguration(): Promise<gatewayDaemon.VersionedConfiguration> {
    return this.respond(() => ({
      configuration: this.store.configuration,
      ...this.position,
    }));
  }

  async watchConfiguration(
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<gatewayDaemon.VersionedConfiguration> {
    this.checkHistory(after);
    await this.waitFor(() => this.store.configurationRevision > after, wait, signal);
    return this.readConfiguration();
  }

  readMembers(): Promise<readonly gatewayDaemon.Member[]> {
    return this.respond(() => [...this.store.members.values()]);
  }

  writeMember(member: gatewayDaemon.Member): Promise<void> {
    return this.respond(() => {
      this.store.members.set(member.name, member);
    });
  }

  readCrashRecords(): Promise<gatewayDaemon.VersionedCrashRecords> {
    return this.respond(() => ({ ...this.store.crashRecords, era: this.store.era }));
  }

  writeCrashRecords(
    records: readonly gatewayDaemon.StoredCrashRecord[],
    expected: gatewayDaemon.StorePosition,
  ): Promise<void> {
    return this.respond(() => {
      const { era, crashRecords } = this.store;
      if (crashRecords.revision !== expected.revision || era !== expected.era) {
        throw new FailureError('StoreConditionFailed');
      }
      this.store.revision += 1;
      this.store.crashRecords = { records, ...this.position };
    });
  }

  private get position(): gatewayDaemon.StorePosition {
    return { era: this.store.era, revision: this.store.revision };
  }

  private checkHistory(after: number): void {
    if (after > this.store.revision) {
      throw new FailureError('StoreHistoryLost');
    }
  }

  private async waitFor(
    hasChanged: () => boolean,
    wait: number,
    signal: AbortSignal,
  ): Promise<void> {
    const deadline = performance.now() + wait;
    while (!hasChanged() && performance.now() < deadline && !this.unavailable) {
      await delay(5, undefined, { signal });
    }
  }

  private respond<Value>(read: () => Value): Promise<Value> {
    this.calls += 1;
    if (this.unavailable) {
      return Promise.reject(new FailureError('StoreUnavailable'));
    }
    return new Promise((resolve) => {
      resolve(read());
    });
  }
}
