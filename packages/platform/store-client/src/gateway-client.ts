/**
 * HTTP client of the etcd JSON gateway, with failover between addresses and result codes for errors.
 */
import { FailureError, rejectOnAbort } from '@dogwoodstall/results';
import * as undici from 'undici';
import type * as zod from 'zod';

const CONNECT_MILLISECONDS = 500;
const CONNECTIONS_PER_ADDRESS = 4;
/** Bounds the memory of calls that were given up while they waited for a connection; they stay in the queue. */
const MAXIMUM_QUEUED_CALLS = 256;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** The kinds of calls, for which separate counts are kept. */
export type CallKind = 'range' | 'transact' | 'lease' | 'watch';

/** A call to the store. */
export interface GatewayCall {
  readonly kind: CallKind;
  readonly path: string;
  readonly body: object;
  /** Whether the call may be retried at another address although the first may have received it. */
  readonly repeatable: boolean;
  readonly signal: AbortSignal;
}

// Error codes after which the call was certainly not sent.
const connectErrorCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function getErrorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

function toFailureError(error: unknown, call: GatewayCall): FailureError {
  if (error instanceof FailureError) {
    return error;
  }
  const message = error instanceof Error ? error.message : String(error);
  const isUnsent = connectErrorCodes.has(getErrorCode(error));
  const isOutcomeUnknown = call.signal.aborted || (!isUnsent && !call.repeatable);
  return new FailureError(
    isOutcomeUnknown ? 'StoreTimeout' : 'StoreUnavailable',
    `${call.path}: ${message}`,
    {
      cause: error,
    },
  );
}

async function readJson(
  response: undici.Dispatcher.ResponseData,
  call: GatewayCall,
): Promise<unknown> {
  try {
    return await response.body.json();
  } catch (error) {
    if (error instanceof SyntaxError) {
      throw new FailureError('StoreRejected', `${call.path} returned invalid JSON`, {
        cause: error,
      });
    }
    throw toFailureError(error, call);
  }
}

/** Connection pools for all store addresses; the address that responded last is tried first. */
export class GatewayClient {
  private readonly pools: readonly undici.Pool[];

  private preferredIndex = 0;

  private readonly callCounts = { range: 0, transact: 0, lease: 0, watch: 0 };

  constructor(addresses: readonly string[]) {
    this.pools = addresses.map(
      (address) =>
        new undici.Pool(`http://${address}`, {
          connections: CONNECTIONS_PER_ADDRESS,
          connect: { timeout: CONNECT_MILLISECONDS },
          bodyTimeout: 0,
          headersTimeout: 0,
        }),
    );
  }

  /** Number of calls sent so far, by kind. */
  get counts(): Readonly<Record<CallKind, number>> {
    return this.callCounts;
  }

  /** Sends a call and returns the response without reading its body. */
  async send(call: GatewayCall): Promise<undici.Dispatcher.ResponseData> {
    let lastError: unknown;
    for (let offset = 0; offset < this.pools.length; offset += 1) {
      const index = (this.preferredIndex + offset) % this.pools.length;
      try {
        const response = await this.sendTo(this.pools[index]!, call);
        this.preferredIndex = index;
        return response;
      } catch (error) {
        lastError = error;
        if (
          call.signal.aborted ||
          (!call.repeatable && !connectErrorCodes.has(getErrorCode(error)))
        ) {
          break;
        }
      }
    }
    throw toFailureError(lastError, call);
  }

  /** Sends a call and validates its JSON response against a schema. */
  async call<Schema extends zod.ZodType>(
    call: GatewayCall,
    schema: Schema,
  ): Promise<zod.infer<Schema>> {
    const response = await this.send(call);
    const parsed = schema.safeParse(await readJson(response, call));
    if (!parsed.success) {
      throw new FailureError('StoreRejected', `${call.path}: ${parsed.error.message}`);
    }
    return parsed.data;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  private async sendTo(
    pool: undici.Pool,
    call: GatewayCall,
  ): Promise<undici.Dispatcher.ResponseData> {
    if (pool.stats.queued >= MAXIMUM_QUEUED_CALLS) {
      throw new FailureError('StoreUnavailable', `${call.path}: too many calls wait`);
    }
    this.callCounts[call.kind] += 1;
    const response = await rejectOnAbort(
      call.signal,
      pool.request({
        path: call.path,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(call.body),
        signal: call.signal,
      }),
    );
    if (response.statusCode === HTTP_OK) {
      return response;
    }
    const detail = await response.body.text();
    const kind = response.statusCode === HTTP_UNAVAILABLE ? 'StoreUnavailable' : 'StoreRejected';
    throw new FailureError(kind, `${call.path} returned status ${response.statusCode}: ${detail}`);
  }
}
