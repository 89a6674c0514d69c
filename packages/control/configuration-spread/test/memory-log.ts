/**
 * An in-memory implementation of the interface of the configuration log.
 */
import { EventEmitter, on, once } from 'node:events';
import * as model from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import type * as configurationSpread from '../src/index.js';

export function createChange(revision: number, reason = 'test'): model.Change {
  return {
    id: `change-${revision}`,
    baseRevision: revision - 1,
    revision,
    author: 'tester',
    reason,
    acceptedAtEpochMilliseconds: 0,
    operations: [{ action: 'put', kind: 'zone', entity: { name: `z${revision}`, region: 'r' } }],
  };
}

/** An in-memory configuration log that can be made unavailable or unresponsive. */
export class MemoryLog implements configurationSpread.ChangeLog {
  readonly changes: model.Change[] = [];

  isUnavailable = false;

  readers = 0;

  /** Times at which a watch was opened or attempted. */
  readonly openedAt: number[] = [];

  /** Revisions of the snapshots that were written. */
  readonly snapshots: number[] = [];

  /** New watches stay open without a response, like a connection that died undetected. */
  isUnresponsive = false;

  private readonly emitter = new EventEmitter().setMaxListeners(0);

  commit(reason?: string): model.Change {
    const change = createChange(this.changes.length + 1, reason);
    this.changes.push(change);
    this.emitter.emit('change', change);
    return change;
  }

  becomeUnavailable(): void {
    this.isUnavailable = true;
    this.emitter.emit('error', new FailureError('StoreUnavailable'));
  }

  async readLatest(): Promise<model.Configuration> {
    this.assertAvailable();
    return this.changes.reduce(
      (configuration, change) => configuration.apply(change),
      model.Configuration.empty(),
    );
  }

  async readChanges(after: number, limit: number): Promise<model.Change[]> {
    this.assertAvailable();
    return this.changes.slice(after, after + limit);
  }

  async *follow(
    after: number,
    signal: AbortSignal,
    onResponse: () => void = () => {},
  ): AsyncGenerator<model.Change, void, undefined> {
    this.openedAt.push(performance.now());
    this.assertAvailable();
    if (this.isUnresponsive) {
      await once(signal, 'abort');
      return;
    }
    const events = on(this.emitter, 'change', { signal });
    onResponse();
    this.readers += 1;
    try {
      yield* this.changes.slice(after);
      for await (const [change] of events as AsyncIterable<[model.Change]>) {
        yield change;
      }
    } finally {
      this.readers -= 1;
    }
  }

  async writeSnapshot(configuration: model.Configuration): Promise<number> {
    this.assertAvailable();
    this.snapshots.push(configuration.revision);
    return configuration.revision;
  }

  private assertAvailable(): void {
    if (this.isUnavailable) {
      throw new FailureError('StoreUnavailable');
    }
  }
}
