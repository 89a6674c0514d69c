/**
 * Keys of the store stand-in, following the revision rules of etcd: each successful write or
 * transaction creates one revision, and the version of a key restarts after the key is deleted.
 */
import { WriteBatch, isInRange, type KeyEvent, type StoredKey } from './write-batch.js';

/** Receives all events of one revision. */
export type EventListener = (events: readonly KeyEvent[]) => void;

/** Holds all keys and the history of their events. */
export class KeySpace {
  private readonly keys = new Map<string, StoredKey>();

  private readonly history: KeyEvent[] = [];

  private readonly listeners = new Set<EventListener>();

  private currentRevision = 1;

  /** The revision of the last write. */
  get revision(): number {
    return this.currentRevision;
  }

  find(key: string): StoredKey | undefined {
    return this.keys.get(key);
  }

  /** Returns the keys of a range in ascending order. */
  range(start: string, end: string): StoredKey[] {
    const found: StoredKey[] = [];
    for (const stored of this.keys.values()) {
      if (isInRange(stored.key, start, end)) {
        found.push(stored);
      }
    }
    return found.sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Applies writes as one new revision; a write that changes nothing creates no revision. */
  write(apply: (batch: WriteBatch) => void): void {
    const batch = new WriteBatch(this.keys, this.currentRevision + 1);
    apply(batch);
    if (batch.events.length === 0) {
      return;
    }
    this.currentRevision += 1;
    this.history.push(...batch.events);
    for (const listener of this.listeners) {
      listener(batch.events);
    }
  }

  /** Returns the events of a key range, starting at a revision. */
  eventsSince(revision: number, start: string, end: string): KeyEvent[] {
    return this.history.filter(
      (event) => event.key.modRevision >= revision && isInRange(event.key.key, start, end),
    );
  }

  /** Calls the listener after each write; returns a function that removes it. */
  subscribe(listener: EventListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
