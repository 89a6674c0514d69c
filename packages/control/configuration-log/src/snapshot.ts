/**
 * Snapshots of the whole configuration, split into parts below the value size limit of the store. The list
 * of parts is written last by compare-and-swap, so that a reader finds either the old or the new snapshot.
 */
import { randomUUID } from 'node:crypto';
import * as model from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import type * as storeClient from '@dogwoodstall/store-client';
import * as keys from './keys.js';
import { parseValue, snapshotListSchema, snapshotPartSchema, type SnapshotList } from './values.js';

// The store accepts values up to one megabyte; base64 in its gateway adds a third, within the request limit.
const MAXIMUM_PART_BYTES = 900_000;
const MAXIMUM_READ_ATTEMPTS = 3;
const WRITER_ID_LENGTH = 8;

/** The methods of the store client that the configuration log uses. */
export type Store = Pick<storeClient.StoreClient, 'range' | 'transact' | 'watch'>;

/** Splits operations into JSON arrays of at most `MAXIMUM_PART_BYTES` bytes each. */
export function splitOperations(operations: readonly model.Operation[]): string[] {
  const parts: string[] = [];
  let texts: string[] = [];
  let bytes = 2;
  for (const operation of operations) {
    const text = JSON.stringify(operation);
    const size = Buffer.byteLength(text) + 1;
    if (bytes + size > MAXIMUM_PART_BYTES && texts.length > 0) {
      parts.push(`[${texts.join(',')}]`);
      texts = [];
      bytes = 2;
    }
    texts.push(text);
    bytes += size;
  }
  parts.push(`[${texts.join(',')}]`);
  return parts;
}

async function readList(
  store: Store,
): Promise<{ list: SnapshotList | undefined; modRevision: number }> {
  const [entry] = (await store.range({ key: keys.SNAPSHOT_KEY })).entries;
  return entry === undefined
    ? { list: undefined, modRevision: 0 }
    : { list: parseValue(snapshotListSchema, entry), modRevision: entry.mod_revision };
}

async function readParts(
  store: Store,
  list: SnapshotList,
): Promise<model.Configuration | undefined> {
  const operations: model.Operation[] = [];
  for (const key of list.parts) {
    const [entry] = (await store.range({ key })).entries;
    if (entry === undefined) {
      return undefined;
    }
    for (const operation of parseValue(snapshotPartSchema, entry)) {
      operations.push(operation);
    }
  }
  return model.Configuration.fromOperations(list.revision, operations);
}

/** Reads the current snapshot; returns the empty configuration if there is none yet. */
export async function readSnapshot(store: Store): Promise<model.Configuration> {
  for (let attempt = 0; attempt < MAXIMUM_READ_ATTEMPTS; attempt += 1) {
    const { list } = await readList(store);
    if (list === undefined) {
      return model.Configuration.empty();
    }
    // A missing part was removed when a newer list was written, so the list is read again.
    const configuration = await readParts(store, list);
    if (configuration !== undefined) {
      return configuration;
    }
  }
  throw new FailureError('StoreValueInvalid', 'parts of the snapshot are missing');
}

/**
 * Writes a snapshot unless the current one is fewer than `minimumAge` revisions behind the configuration.
 * Returns the revision of the current snapshot afterwards.
 */
export async function writeSnapshot(
  store: Store,
  configuration: model.Configuration,
  minimumAge: number,
): Promise<number> {
  const { list, modRevision } = await readList(store);
  if (list !== undefined && configuration.revision - list.revision < minimumAge) {
    return list.revision;
  }
  const { revision } = configuration;
  const writer = randomUUID().slice(0, WRITER_ID_LENGTH);
  const parts: string[] = [];
  for (const value of splitOperations(configuration.toOperations())) {
    const key = keys.formatPartKey(revision, writer, parts.length);
    await store.transact({ compare: [], success: [{ kind: 'put', key, value }] });
    parts.push(key);
  }
  const swap = await store.transact({
    compare: [{ target: 'mod-revision', key: keys.SNAPSHOT_KEY, equals: modRevision }],
    success: [
      { kind: 'put', key: keys.SNAPSHOT_KEY, value: JSON.stringify({ revision, parts }) },
      { kind: 'delete', ...keys.buildOlderPartsRange(revision) },
    ],
  });
  return swap.succeeded ? revision : ((await readList(store)).list?.revision ?? 0);
}
