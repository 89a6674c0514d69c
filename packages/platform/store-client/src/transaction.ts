/**
 * Transactions of the key-value store: comparisons, and the operations for either result.
 */
import { encodeText } from './messages.js';

/** A comparison of an attribute of a key; version 0 means that the key does not exist. */
export interface StoreComparison {
  readonly target: 'version' | 'mod-revision' | 'create-revision';
  readonly key: string;
  readonly equals: number;
}

/** A single key, or all keys from `key` (inclusive) to `end` (exclusive). */
export interface KeyRange {
  readonly key: string;
  readonly end?: string | undefined;
  readonly limit?: number | undefined;
}

/** An operation of a transaction. */
export type StoreOperation =
  | { readonly kind: 'put'; readonly key: string; readonly value: string; readonly lease?: string }
  | { readonly kind: 'delete'; readonly key: string; readonly end?: string }
  | ({ readonly kind: 'range' } & KeyRange);

/** A transaction: executes `success` if all comparisons hold, `failure` otherwise. */
export interface StoreTransaction {
  readonly compare: readonly StoreComparison[];
  readonly success: readonly StoreOperation[];
  readonly failure?: readonly StoreOperation[];
}

const comparisonTargets = {
  version: ['VERSION', 'version'],
  'mod-revision': ['MOD', 'mod_revision'],
  'create-revision': ['CREATE', 'create_revision'],
} as const;

function encodeComparison(comparison: StoreComparison): Record<string, string> {
  const [target, field] = comparisonTargets[comparison.target];
  const key = encodeText(comparison.key);
  return { target, result: 'EQUAL', key, [field]: String(comparison.equals) };
}

/** Encodes a key range as a message of the JSON gateway. */
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

/** Encodes a transaction as a message of the JSON gateway. */
export function encodeTransaction(transaction: StoreTransaction): object {
  return {
    compare: transaction.compare.map(encodeComparison),
    success: transaction.success.map(encodeOperation),
    failure: (transaction.failure ?? []).map(encodeOperation),
  };
}
