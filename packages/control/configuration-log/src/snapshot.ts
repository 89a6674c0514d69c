/**
 * Snapshots of the whole configuration in parts below the value limit of the store. The list of parts
 * is swapped in last by compare-and-swap, so that a reader finds either snapshot whole.
 */
import { randomUUID } from 'node:crypto';
import * as model from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import type * as storeClient from '@dogwoodstall/store-client';
import * as keys from './keys.js';
import { parseValue, snapshotListSchema, snapshotPartSchema, type SnapshotList } from './values.js';

// Values may have one megabyte; the gateway adds a third for base64 within its own request limit.
const PART_BYTES = 900_000;
const READ_ATTEMPTS = 3;
const WRITER_DIGITS = 8;

/** The methods of the store client that the log uses. */
export type Store = Pick<storeClient.StoreClient, 'range' | 'transact' | 'watch'>;

/** Splits operations into JSON texts of at most `PART_BYTES` bytes. */
export function splitOperations(operations: readonly model.Operation[]): string[] {
  const parts: string[] = [];
  let texts: string[] = [];
  let bytes = 2;
  for (const operation of operations) {
    const text = JSON.stringify(operation);
    const size = Buffer.byteLength(text) + 1;
    if (bytes + size > PART_BYTES && texts.length > 0) {
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

/** Reads the snapshot in force; the empty configuration when there is none yet. */
export async function readSnapshot(store: Store): Promise<model.Configuration> {
  for (let attempt = 0; attempt < READ_ATTEMPTS; attempt += 1) {
    const { list } = await readList(store);
    if (list === undefined) {
      return model.Configuration.empty();
    }
    // A part that is missing was removed after a newer list was swapped in.
    const configuration = await readParts(store, list);
    if (configuration !== undefined) {
      return configuration;
    }
  }
  throw new FailureError('StoreValueInvalid', 'parts of the snapshot are missing');
}

/**
 * Writes a snapshot unless the store has one that is `minimumAge` revisions younger or less behind.
 * Returns the revision of the snapshot in force afterwards.
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
  const writer = randomUUID().slice(0, WRITER_DIGITS);
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
      { kind: 'delete', ...keys.rangeOfOlderParts(revision) },
    ],
  });
  return swap.succeeded ? revision : ((await readList(store)).list?.revision ?? 0);
}
