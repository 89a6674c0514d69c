/**
 * Implements the range, put, delete and transaction operations of the store stand-in.
 */
import * as results from '@dogwoodstall/results';
import { KeySpace } from './key-space.js';
import type { StoredKey, WriteBatch } from './write-batch.js';
import { LeaseTable } from './leases.js';
import * as messages from './messages.js';

type Message = Record<string, unknown>;

function compareNumbers(left: number | bigint, right: number | bigint): number {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}

function compareWithStored(comparison: messages.Comparison, stored: StoredKey | undefined): number {
  if (comparison.target === 'VERSION') {
    return compareNumbers(stored?.version ?? 0, comparison.version);
  }
  if (comparison.target === 'CREATE') {
    return compareNumbers(stored?.createRevision ?? 0, comparison.create_revision);
  }
  if (comparison.target === 'MOD') {
    return compareNumbers(stored?.modRevision ?? 0, comparison.mod_revision);
  }
  if (comparison.target === 'LEASE') {
    return compareNumbers(BigInt(stored?.lease ?? '0'), BigInt(comparison.lease));
  }
  return Buffer.compare(stored?.value ?? Buffer.alloc(0), comparison.value);
}

function isComparisonTrue(comparison: messages.Comparison, stored: StoredKey | undefined): boolean {
  // As in etcd, every comparison of a value fails for a key that does not exist.
  if (comparison.target === 'VALUE' && stored === undefined) {
    return false;
  }
  const order = compareWithStored(comparison, stored);
  if (comparison.result === 'EQUAL') {
    return order === 0;
  }
  if (comparison.result === 'NOT_EQUAL') {
    return order !== 0;
  }
  return comparison.result === 'GREATER' ? order > 0 : order < 0;
}

/** Data and operations of the store, independent of HTTP. */
export class StoreEngine {
  readonly keySpace = new KeySpace();

  readonly leases = new LeaseTable(this.keySpace);

  /** Returns the response header that every etcd response contains. */
  header(): Message {
    return {
      cluster_id: '1',
      member_id: '1',
      revision: String(this.keySpace.revision),
      raft_term: '1',
    };
  }

  range(request: messages.RangeRequest): Message {
    const found = this.keySpace.range(request.key, request.range_end);
    if (request.sort_order === 'DESCEND') {
      found.reverse();
    }
    const limited = request.limit > 0 ? found.slice(0, request.limit) : found;
    const listed = request.count_only ? [] : limited;
    return messages.omitDefaults({
      header: this.header(),
      kvs: listed.map((stored) => messages.formatKey(stored, !request.keys_only)),
      more: limited.length < found.length,
      count: String(found.length),
    });
  }

  put(request: messages.PutRequest): Message {
    this.requireLease(request);
    this.keySpace.write((batch) => batch.put(request.key, request.value, request.lease));
    return { header: this.header() };
  }

  deleteRange(request: messages.DeleteRangeRequest): Message {
    let deleted = 0;
    this.keySpace.write((batch) => {
      deleted = batch.remove(request.key, request.range_end).length;
    });
    return messages.omitDefaults({ header: this.header(), deleted: String(deleted) });
  }

  /** Evaluates the comparisons and runs the chosen operation list in one revision. */
  transact(request: messages.TransactionRequest): Message {
    const succeeded = request.compare.every((comparison) =>
      isComparisonTrue(comparison, this.keySpace.find(comparison.key)),
    );
    const operations = succeeded ? request.success : request.failure;
    for (const operation of operations) {
      if (operation.request_put !== undefined) {
        this.requireLease(operation.request_put);
      }
    }
    const responses: Message[] = [];
    this.keySpace.write((batch) => {
      for (const operation of operations) {
        responses.push(this.runOperation(operation, batch));
      }
    });
    return messages.omitDefaults({ header: this.header(), succeeded, responses });
  }

  private runOperation(operation: messages.TransactionOperation, batch: WriteBatch): Message {
    if (operation.request_range !== undefined) {
      return { response_range: this.range(operation.request_range) };
    }
    if (operation.request_put !== undefined) {
      const { key, value, lease } = operation.request_put;
      batch.put(key, value, lease);
      return { response_put: {} };
    }
    if (operation.request_delete_range !== undefined) {
      const { key, range_end: end } = operation.request_delete_range;
      const deleted = String(batch.remove(key, end).length);
      return { response_delete_range: messages.omitDefaults({ deleted }) };
    }
    return {};
  }

  private requireLease(request: messages.PutRequest): void {
    if (request.lease !== '0' && !this.leases.has(request.lease)) {
      throw new results.FailureError('StoreRejected', 'etcdserver: requested lease not found');
    }
  }
}
