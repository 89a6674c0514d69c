/**
 * The active configuration of one daemon. Its revision only increases, by one change at a time or by
 * replacement with a whole configuration of a higher revision.
 */
import { EventEmitter } from 'node:events';
import * as model from '@dogwoodstall/model';
import { checkInvariant } from '@dogwoodstall/results';
import * as most from 'most';
import { RecentChanges } from './recent-changes.js';

/** Holds the active configuration and the changes that led to it. */
export class ConfigurationState {
  /** Emits each configuration that becomes active. */
  readonly configurations: most.Stream<model.Configuration>;

  readonly recent = new RecentChanges();

  private readonly emitter = new EventEmitter();

  private active: model.Configuration | undefined;

  private lastBytes = Infinity;

  constructor() {
    this.emitter.setMaxListeners(0);
    this.configurations = most
      .fromEvent<model.Configuration>('configuration', this.emitter)
      .multicast();
  }

  /** The active configuration; undefined until the daemon has one. */
  get current(): model.Configuration | undefined {
    return this.active;
  }

  /** The active revision; 0 without a configuration. */
  get revision(): number {
    return this.active?.revision ?? 0;
  }

  /** Size in bytes of the last change; infinite after the whole configuration was replaced. */
  get lastChangeBytes(): number {
    return this.lastBytes;
  }

  /** Applies a change if it directly follows the active revision; returns whether it did. */
  applyChange(change: model.Change): boolean {
    if (this.active?.revision !== change.revision - 1) {
      return false;
    }
    const next = this.active.apply(change);
    this.lastBytes = this.recent.add(change);
    this.replace(next);
    return true;
  }

  /** Replaces the configuration if the new revision is higher; returns whether it was. */
  replaceConfiguration(configuration: model.Configuration): boolean {
    if (this.active !== undefined && configuration.revision <= this.active.revision) {
      return false;
    }
    this.recent.clear();
    this.lastBytes = Infinity;
    this.replace(configuration);
    return true;
  }

  /** Calls a listener with each new configuration, before the stream emits it. */
  onReplace(listener: (configuration: model.Configuration) => void): void {
    this.emitter.on('configuration', listener);
  }

  private replace(next: model.Configuration): void {
    const previous = this.active?.revision ?? -1;
    const isHigher = checkInvariant(
      next.revision > previous,
      'RevisionReverted',
      () => `revision ${next.revision} was about to replace ${previous}`,
    );
    if (isHigher) {
      this.active = next;
      this.emitter.emit('configuration', next);
    }
  }
}
