/**
 * The configuration in force in one daemon. Its revision only rises, one change at a time or by a
 * whole configuration of a higher revision.
 */
import { EventEmitter } from 'node:events';
import * as model from '@dogwoodstall/model';
import { checkInvariant } from '@dogwoodstall/results';
import * as most from 'most';
import { RecentChanges } from './recent-changes.js';

/** The configuration in force and the changes that led to it. */
export class ConfigurationState {
  /** Each configuration that comes into force. */
  readonly configurations: most.Stream<model.Configuration>;

  readonly recent = new RecentChanges();

  private readonly emitter = new EventEmitter();

  private inForce: model.Configuration | undefined;

  private lastBytes = Infinity;

  constructor() {
    this.emitter.setMaxListeners(0);
    this.configurations = most
      .fromEvent<model.Configuration>('configuration', this.emitter)
      .multicast();
  }

  /** The configuration in force; undefined until the daemon knows one. */
  get current(): model.Configuration | undefined {
    return this.inForce;
  }

  /** The revision in force, 0 without a configuration. */
  get revision(): number {
    return this.inForce?.revision ?? 0;
  }

  /** Size in bytes of the last change; infinite after a whole configuration came into force. */
  get lastChangeBytes(): number {
    return this.lastBytes;
  }

  /** Applies the change after the revision in force; returns whether it was that change. */
  applyChange(change: model.Change): boolean {
    if (this.inForce?.revision !== change.revision - 1) {
      return false;
    }
    const next = this.inForce.apply(change);
    this.lastBytes = this.recent.add(change);
    this.replace(next);
    return true;
  }

  /** Puts a whole configuration in force unless it is older than the one in force. */
  replaceWhole(configuration: model.Configuration): boolean {
    if (this.inForce !== undefined && configuration.revision <= this.inForce.revision) {
      return false;
    }
    this.recent.clear();
    this.lastBytes = Infinity;
    this.replace(configuration);
    return true;
  }

  /** Calls a function with each configuration, before the stream delivers it. */
  onReplace(listener: (configuration: model.Configuration) => void): void {
    this.emitter.on('configuration', listener);
  }

  private replace(next: model.Configuration): void {
    const previous = this.inForce?.revision ?? -1;
    const rises = checkInvariant(
      next.revision > previous,
      'RevisionReverted',
      () => `revision ${next.revision} was about to replace ${previous}`,
    );
    if (rises) {
      this.inForce = next;
      this.emitter.emit('configuration', next);
    }
  }
}
