/**
 * The store in memory as one daemon reaches it.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { FailureError } from '@dogwoodstall/results';
import type * as gatewayDaemon from '../src/index.js';
import type { MemoryStore } from './memory-store.js';

/** One daemon's view of the store. */
export class MemorySource implements gatewayDaemon.DirectorySource {
  /** Whether the store turns this daemon away. */
  away = false;

  calls = 0;

  /** Calls that read all endpoints. */
  readings = 0;

  constructor(private readonly store: MemoryStore) {}

  readEndpoints(): ReturnType<gatewayDaemon.DirectorySource['readEndpoints']> {
    this.readings += 1;
    return this.answer(() => ({
      endpoints: [...this.store.endpoints.values()],
      revision: this.store.revision,
    }));
  }

  async watchEndpoints(
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<gatewayDaemon.EndpointChanges> {
    await this.waitFor(
      () => this.store.changes.some(({ revision }) => revision > after),
      wait,
      signal,
    );
    return this.answer(() => ({
      changes: this.store.changes
        .filter(({ revision }) => revision > after)
        .map(({ change }) => change),
      revision: this.store.revision,
    }));
  }

  readConfiguration(): Promise<gatewayDaemon.ConfigurationReading> {
    return this.answer(() => ({
      configuration: this.store.configuration,
      revision: this.store.revision,
    }));
  }

  async watchConfiguration(
    after: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<gatewayDaemon.ConfigurationReading> {
    await this.waitFor(() => this.store.configurationRevision > after, wait, signal);
    return this.readConfiguration();
  }

  readMembers(): Promise<readonly gatewayDaemon.Member[]> {
    return this.answer(() => [...this.store.members.values()]);
  }

  writeMember(member: gatewayDaemon.Member): Promise<void> {
    return this.answer(() => {
      this.store.members.set(member.name, member);
    });
  }

  private async waitFor(happened: () => boolean, wait: number, signal: AbortSignal): Promise<void> {
    const until = performance.now() + wait;
    while (!happened() && performance.now() < until && !this.away) {
      await delay(5, undefined, { signal });
    }
  }

  private answer<Value>(read: () => Value): Promise<Value> {
    this.calls += 1;
    if (this.away) {
      return Promise.reject(new FailureError('StoreUnavailable'));
    }
    return Promise.resolve(read());
  }
}
