/**
 * Client of the platform's key-value store, which offers a subset of the etcd v3 JSON gateway.
 */
export {
  type RangeResult,
  type StoreClientOptions,
  type TransactionResult,
  StoreClient,
} from './client.js';
export type { CallKind } from './gateway-client.js';
export { type StoreEntry, type WatchResponse, getPrefixRangeEnd } from './messages.js';
export type { KeyRange, StoreComparison, StoreOperation, StoreTransaction } from './transaction.js';
