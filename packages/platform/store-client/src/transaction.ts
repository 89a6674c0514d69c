/**
 * Transactions of the key-value service: comparisons, and operations for either result.
 */
import { encodeText } from './messages.js';

/** One comparison; a version of 0 means that the key does not exist. */
export interface StoreComparison {
  readonly target: 'version' | 'mod-revision' | 'create-revision';
  readonly key: string;
  readonly equals: number;
}

/** A range of keys: one key, or all keys from `key` up to and without `end`. */
export interface KeyRange {
  readonly key: string;
  readonly end?: string | undefined;
  readonly limit?: number | undefined;
}

/** One operation of a transaction. */
export type StoreOperation =
  | { readonly kind: 'put'; readonly key: string; readonly value: string; readonly lease?: string }
  | { readonly kind: 'delete'; readonly key: string; readonly end?: string }
  | ({ readonly kind: 'range' } & KeyRange);

/** A transaction: `success` runs when every comparison holds, otherwise `failure`. */
export interface StoreTransaction {
  readonly compare: readonly StoreComparison[];
  readonly success: readonly StoreOperation[];
  readonly failure?: readonly StoreOperation[];
}

const targetNames = {
  version: ['VERSION', 'version'],
  'mod-revision': ['MOD', 'mod_revision'],
  'create-revision': ['CREATE', 'create_revision'],
} as const;

function encodeComparison(comparison: StoreComparison): Record<string, string> {
  const [target, field] = targetNames[comparison.target];
  const key = encodeText(comparison.key);
  return { target, result: 'EQUAL', key, [field]: String(comparison.equals) };
}

/** Encodes a range of keys. */
export function encodeRange(range: KeyRange): Record<string, string> {
  return {
    key: encodeText(range.key),
    ...(range.end === undefined ? {} : { range_end: encodeText(range.end) }),
    ...(range.limit === undefined ? {} : { limit: String(range.limit) }),
  };
}

function encodeOperation(operation: StoreOperation): object {
  if (operation.kind === 'range') {
    return { request_range: encodeRange(operation) };
  }
  if (operation.kind === 'delete') {
    return { request_delete_range: encodeRange(operation) };
  }
  const { key, value, lease } = operation;
  const put = { key: encodeText(key), value: encodeText(value) };
  return { request_put: lease === undefined ? put : { ...put, lease } };
}

/** Encodes a transaction. */
export function encodeTransaction(transaction: StoreTransaction): object {
  return {
    compare: transaction.compare.map(encodeComparison),
    success: transaction.success.map(encodeOperation),
    failure: (transaction.failure ?? []).map(encodeOperation),
  };
}
