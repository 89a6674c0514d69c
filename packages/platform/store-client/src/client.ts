/**
 * The client of the platform's key-value service.
 *
 * Every method throws a `FailureError`: `StoreUnavailable` when the call was not carried out,
 * `StoreTimeout` when a write may have taken effect, `StoreRejected` for any other answer.
 */
import { FailureError } from '@dogwoodstall/results';
import { Gateway, type CallKind } from './gateway-client.js';
import * as messages from './messages.js';
import {
  encodeRange,
  encodeTransaction,
  type KeyRange,
  type StoreTransaction,
} from './transaction.js';

const DEFAULT_CALL_MILLISECONDS = 2000;

/** Options of a store client. */
export interface StoreClientOptions {
  /** `IP address:port`, one or more. */
  readonly addresses: readonly string[];
  readonly callMilliseconds?: number;
}

/** The entries of a range, and the store revision at which they were read. */
export interface RangeResult {
  readonly entries: readonly messages.StoreEntry[];
  readonly more: boolean;
  readonly storeRevision: number;
}

/** The result of a transaction; `ranges` has the entries of each operation, empty for writes. */
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
    throw new FailureError('StoreRejected', 'the watch answered no JSON', { cause: error });
  }
  const answer = messages.watchAnswerSchema.safeParse(parsed);
  if (!answer.success || answer.data.result.canceled) {
    throw new FailureError('StoreRejected', `the watch was cancelled: ${line.slice(0, 200)}`);
  }
  return answer.data.result;
}

function toWatchFailure(error: unknown): FailureError {
  if (error instanceof FailureError) {
    return error;
  }
  const message = error instanceof Error ? error.message : String(error);
  return new FailureError('StoreUnavailable', `the watch broke: ${message}`, { cause: error });
}

async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    yield* lines;
  }
}

/** Reads, writes and watches keys. */
export class StoreClient {
  private readonly gateway: Gateway;

  private readonly callMilliseconds: number;

  constructor(options: StoreClientOptions) {
    this.gateway = new Gateway(options.addresses);
    this.callMilliseconds = options.callMilliseconds ?? DEFAULT_CALL_MILLISECONDS;
  }

  /** Calls sent so far, by kind. */
  get callCounts(): Readonly<Record<CallKind, number>> {
    return this.gateway.counts;
  }

  /** Reads the entries of a range of keys in key order. */
  async range(range: KeyRange): Promise<RangeResult> {
    const answer = await this.gateway.call(
      {
        kind: 'range',
        path: '/v3/kv/range',
        body: encodeRange(range),
        repeatable: true,
        signal: this.timeout(),
      },
      messages.rangeAnswerSchema,
    );
    return { entries: answer.kvs, more: answer.more, storeRevision: answer.header.revision };
  }

  /** Runs a transaction once. */
  async transact(transaction: StoreTransaction): Promise<TransactionResult> {
    const answer = await this.gateway.call(
      {
        kind: 'transact',
        path: '/v3/kv/txn',
        body: encodeTransaction(transaction),
        repeatable: false,
        signal: this.timeout(),
      },
      messages.transactionAnswerSchema,
    );
    return {
      succeeded: answer.succeeded,
      storeRevision: answer.header.revision,
      ranges: answer.responses.map((response) => response.response_range?.kvs ?? []),
    };
  }

  /** Grants a lease and returns its id. */
  async grantLease(seconds: number): Promise<string> {
    const body = { TTL: String(seconds) };
    const path = '/v3/lease/grant';
    const answer = await this.callLease(path, body, messages.leaseGrantAnswerSchema);
    return answer.ID;
  }

  /** Renews a lease; returns the seconds that it lives, 0 when it is gone. */
  async keepLeaseAlive(lease: string): Promise<number> {
    const path = '/v3/lease/keepalive';
    const answer = await this.callLease(path, { ID: lease }, messages.leaseKeepAliveAnswerSchema);
    return answer.result.TTL;
  }

  /** Revokes a lease and removes its keys. */
  async revokeLease(lease: string): Promise<void> {
    await this.callLease('/v3/lease/revoke', { ID: lease }, messages.leaseRevokeAnswerSchema);
  }

  /**
   * Watches a range of keys from a store revision on. The stream ends without an error when the
   * service closes it, and throws `StoreRejected` when the start revision was compacted away.
   */
  async *watch(
    range: KeyRange,
    startRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<messages.WatchResponse, void, undefined> {
    const create = { ...encodeRange(range), start_revision: String(startRevision) };
    const path = '/v3/watch';
    const body = { create_request: create };
    const answer = await this.gateway.send({ kind: 'watch', path, body, repeatable: true, signal });
    try {
      for await (const line of readLines(answer.body)) {
        if (line !== '') {
          yield parseWatchLine(line);
        }
      }
    } catch (error) {
      throw toWatchFailure(error);
    } finally {
      answer.body.on('error', () => {}).destroy();
    }
  }

  /** Closes every connection; running calls fail. */
  async close(): Promise<void> {
    await this.gateway.close();
  }

  private timeout(): AbortSignal {
    return AbortSignal.timeout(this.callMilliseconds);
  }

  private async callLease<Schema extends Parameters<Gateway['call']>[1]>(
    path: string,
    body: object,
    schema: Schema,
  ): Promise<ReturnType<Schema['parse']>> {
    const signal = this.timeout();
    const call = { kind: 'lease', path, body, repeatable: false, signal } as const;
    return (await this.gateway.call(call, schema)) as ReturnType<Schema['parse']>;
  }
}
