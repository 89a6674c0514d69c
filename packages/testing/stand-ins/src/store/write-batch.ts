/**
 * Keys, events and write batches of the store stand-in.
 *
 * Keys are stored as latin1 strings, whose code unit order equals their byte order.
 */

/** One key with its value and its etcd metadata. */
export interface StoredKey {
  readonly key: string;
  readonly value: Buffer;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  /** Id of the attached lease; `0` when there is none. */
  readonly lease: string;
}

/** One change of a key, as a watch reports it. */
export interface KeyEvent {
  readonly type: 'PUT' | 'DELETE';
  readonly key: StoredKey;
}

const WHOLE_RANGE = '\0';

/** Returns whether a key is in a range; an empty end selects only the key `start`. */
export function isInRange(key: string, start: string, end: string): boolean {
  if (end === '') {
    return key === start;
  }
  return key >= start && (end === WHOLE_RANGE || key < end);
}

/** Applies the writes of one revision and collects their events. */
export class WriteBatch {
  readonly events: KeyEvent[] = [];

  private readonly keys: Map<string, StoredKey>;

  private readonly revision: number;

  constructor(keys: Map<string, StoredKey>, revision: number) {
    this.keys = keys;
    this.revision = revision;
  }

  put(key: string, value: Buffer, lease: string): void {
    const previous = this.keys.get(key);
    const stored: StoredKey = {
      key,
      value,
      lease,
      createRevision: previous?.createRevision ?? this.revision,
      modRevision: this.revision,
      version: (previous?.version ?? 0) + 1,
    };
    this.keys.set(key, stored);
    this.events.push({ type: 'PUT', key: stored });
  }

  /** Deletes the keys of a range and returns them. */
  remove(start: string, end: string): StoredKey[] {
    const removed: StoredKey[] = [];
    for (const stored of this.keys.values()) {
      if (isInRange(stored.key, start, end)) {
        removed.push(stored);
      }
    }
    for (const stored of removed) {
      this.keys.delete(stored.key);
      const tombstone: StoredKey = {
        key: stored.key,
        value: Buffer.alloc(0),
        createRevision: 0,
        modRevision: this.revision,
        version: 0,
        lease: '0',
      };
      this.events.push({ type: 'DELETE', key: tombstone });
    }
    return removed;
  }
}
