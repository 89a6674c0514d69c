/**
 * The configuration log at its interface, in memory.
 */
import { EventEmitter, on, once } from 'node:events';
import * as model from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import type * as spread from '../src/index.js';

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

/** The log in the store, in memory; it can be away. */
export class MemoryLog implements spread.Log {
  readonly changes: model.Change[] = [];

  away = false;

  readers = 0;

  /** Times at which a watch was opened or tried. */
  readonly openedAt: number[] = [];

  /** Revisions of the snapshots that were written. */
  readonly snapshots: number[] = [];

  /** New watches stay open and tell nothing, like a connection that died unnoticed. */
  silent = false;

  private readonly emitter = new EventEmitter().setMaxListeners(0);

  commit(reason?: string): model.Change {
    const change = createChange(this.changes.length + 1, reason);
    this.changes.push(change);
    this.emitter.emit('change', change);
    return change;
  }

  goAway(): void {
    this.away = true;
    this.emitter.emit('error', new FailureError('StoreUnavailable'));
  }

  async readLatest(): Promise<model.Configuration> {
    this.check();
    return this.changes.reduce(
      (configuration, change) => configuration.apply(change),
      model.Configuration.empty(),
    );
  }

  async readChanges(after: number, limit: number): Promise<model.Change[]> {
    this.check();
    return this.changes.slice(after, after + limit);
  }

  async *follow(
    after: number,
    signal: AbortSignal,
    onAnswer: () => void = () => {},
  ): AsyncGenerator<model.Change, void, undefined> {
    this.openedAt.push(performance.now());
    this.check();
    if (this.silent) {
      await once(signal, 'abort');
      return;
    }
    const events = on(this.emitter, 'change', { signal });
    onAnswer();
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
    this.check();
    this.snapshots.push(configuration.revision);
    return configuration.revision;
  }

  private check(): void {
    if (this.away) {
      throw new FailureError('StoreUnavailable');
    }
  }
}
