/**
 * Client of the platform's key-value store.
 *
 * Every method throws a `FailureError`: `StoreUnavailable` if the call was not executed, `StoreTimeout`
 * if a write may have been applied, `StoreRejected` for an error response or an invalid response.
 */
import { FailureError } from '@dogwoodstall/results';
import { GatewayClient, type CallKind } from './gateway-client.js';
import * as messages from './messages.js';
import {
  encodeRange,
  encodeTransaction,
  type KeyRange,
  type StoreTransaction,
} from './transaction.js';

const DEFAULT_CALL_MILLISECONDS = 2000;

/** Options of `StoreClient`. */
export interface StoreClientOptions {
  /** `IP address:port`, one or more. */
  readonly addresses: readonly string[];
  /** Timeout of each call except `watch`; 2000 by default. */
  readonly callMilliseconds?: number;
}

/** Entries of a key range and the store revision at which they were read. */
export interface RangeResult {
  readonly entries: readonly messages.StoreEntry[];
  readonly more: boolean;
  readonly storeRevision: number;
}

/** Result of a transaction; `ranges` has the entries for each operation, empty for writes. */
export interface TransactionResult {
  readonly succeeded: boolean;
  readonly storeRevision: number;
  readonly ranges: readonly (readonly messages.StoreEntry[])[];
}

function parseWatchLine(line: string): messages.WatchResponse {
  let parsed: unknown;
  try {
    parsed = JSON.parse(line);
  } catch (error) {
    throw new FailureError('StoreRejected', 'the watch returned invalid JSON', { cause: error });
  }
  const response = messages.watchResponseSchema.safeParse(parsed);
  if (!response.success || response.data.result.canceled) {
    throw new FailureError('StoreRejected', `the watch was cancelled: ${line.slice(0, 200)}`);
  }
  return response.data.result;
}

function toWatchFailure(error: unknown): FailureError {
  if (error instanceof FailureError) {
    return error;
  }
  const message = error instanceof Error ? error.message : String(error);
  return new FailureError('StoreUnavailable', `the watch failed: ${message}`, { cause: error });
}

async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let remainder = '';
  for await (const chunk of body) {
    const lines = (remainder + decoder.decode(chunk, { stream: true })).split('\n');
    remainder = lines.pop() ?? '';
    yield* lines;
  }
}

/** Reads, writes and watches keys, and manages leases. */
export class StoreClient {
  private readonly gateway: GatewayClient;

  private readonly callMilliseconds: number;

  constructor(options: StoreClientOptions) {
    this.gateway = new GatewayClient(options.addresses);
    this.callMilliseconds = options.callMilliseconds ?? DEFAULT_CALL_MILLISECONDS;
  }

  /** Number of calls sent so far, by kind. */
  get callCounts(): Readonly<Record<CallKind, number>> {
    return this.gateway.counts;
  }

  /** Reads the entries of a key range in key order. */
  async range(range: KeyRange): Promise<RangeResult> {
    const response = await this.gateway.call(
      {
        kind: 'range',
        path: '/v3/kv/range',
        body: encodeRange(range),
        repeatable: true,
        signal: this.createTimeoutSignal(),
      },
      messages.rangeResponseSchema,
    );
    return { entries: response.kvs, more: response.more, storeRevision: response.header.revision };
  }

  /** Executes a transaction. It is not retried once it may have reached the store. */
  async transact(transaction: StoreTransaction): Promise<TransactionResult> {
    const response = await this.gateway.call(
      {
        kind: 'transact',
        path: '/v3/kv/txn',
        body: encodeTransaction(transaction),
        repeatable: false,
        signal: this.createTimeoutSignal(),
      },
      messages.transactionResponseSchema,
    );
    return {
      succeeded: response.succeeded,
      storeRevision: response.header.revision,
      ranges: response.responses.map((result) => result.response_range?.kvs ?? []),
    };
  }

  /** Creates a lease and returns its ID. */
  async grantLease(seconds: number): Promise<string> {
    const body = { TTL: String(seconds) };
    const path = '/v3/lease/grant';
    const response = await this.callLease(path, body, messages.leaseGrantResponseSchema);
    return response.ID;
  }

  /** Renews a lease and returns its time to live in seconds, 0 if it has expired. */
  async keepLeaseAlive(lease: string): Promise<number> {
    const path = '/v3/lease/keepalive';
    const response = await this.callLease(
      path,
      { ID: lease },
      messages.leaseKeepAliveResponseSchema,
    );
    return response.result.TTL;
  }

  /** Revokes a lease and deletes the keys attached to it. */
  async revokeLease(lease: string): Promise<void> {
    await this.callLease('/v3/lease/revoke', { ID: lease }, messages.leaseRevokeResponseSchema);
  }

  /**
   * Watches a key range, starting at a store revision. The generator returns when the store closes the
   * stream, and throws `StoreRejected` if the start revision has been compacted.
   */
  async *watch(
    range: KeyRange,
    startRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<messages.WatchResponse, void, undefined> {
    const create = { ...encodeRange(range), start_revision: String(startRevision) };
    const path = '/v3/watch';
    const body = { create_request: create };
    const response = await this.gateway.send({
      kind: 'watch',
      path,
      body,
      repeatable: true,
      signal,
    });
    try {
      for await (const line of readLines(response.body)) {
        if (line !== '') {
          yield parseWatchLine(line);
        }
      }
    } catch (error) {
      throw toWatchFailure(error);
    } finally {
      response.body.on('error', () => {}).destroy();
    }
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    await this.gateway.close();
  }

  private createTimeoutSignal(): AbortSignal {
    return AbortSignal.timeout(this.callMilliseconds);
  }

  private async callLease<Schema extends Parameters<GatewayClient['call']>[1]>(
    path: string,
    body: object,
    schema: Schema,
  ): Promise<ReturnType<Schema['parse']>> {
    const signal = this.createTimeoutSignal();
    const call = { kind: 'lease', path, body, repeatable: false, signal } as const;
    return (await this.gateway.call(call, schema)) as ReturnType<Schema['parse']>;
  }
}
