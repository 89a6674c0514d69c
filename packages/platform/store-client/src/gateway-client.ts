/**
 * HTTP calls to the addresses of the key-value service, with failover and result codes.
 */
import { FailureError } from '@dogwoodstall/results';
import * as undici from 'undici';
import type * as zod from 'zod';

const CONNECT_MILLISECONDS = 500;
const CONNECTIONS_PER_ADDRESS = 4;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** The kinds of calls that are counted. */
export type CallKind = 'range' | 'transact' | 'lease' | 'watch';

/** One call. */
export interface GatewayCall {
  readonly kind: CallKind;
  readonly path: string;
  readonly body: object;
  /** Whether the call may be sent to a second address after it may have reached the first. */
  readonly repeatable: boolean;
  readonly signal: AbortSignal;
}

const unsentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function codeOf(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

function describeError(error: unknown, call: GatewayCall): FailureError {
  if (error instanceof FailureError) {
    return error;
  }
  const message = error instanceof Error ? error.message : String(error);
  const unsent = unsentCodes.has(codeOf(error));
  const unknown = call.signal.aborted || (!unsent && !call.repeatable);
  return new FailureError(
    unknown ? 'StoreTimeout' : 'StoreUnavailable',
    `${call.path}: ${message}`,
    {
      cause: error,
    },
  );
}

async function readJson(
  answer: undici.Dispatcher.ResponseData,
  call: GatewayCall,
): Promise<unknown> {
  try {
    return await answer.body.json();
  } catch (error) {
    if (error instanceof SyntaxError) {
      throw new FailureError('StoreRejected', `${call.path} answered no JSON`, { cause: error });
    }
    throw describeError(error, call);
  }
}

/** Connections to every address of the service; the address that answered last comes first. */
export class Gateway {
  private readonly pools: readonly undici.Pool[];

  private preferred = 0;

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

  /** Calls sent so far, by kind. */
  get counts(): Readonly<Record<CallKind, number>> {
    return this.callCounts;
  }

  /** Sends a call and returns the answer with its body unread. */
  async send(call: GatewayCall): Promise<undici.Dispatcher.ResponseData> {
    let lastError: unknown;
    for (let step = 0; step < this.pools.length; step += 1) {
      const index = (this.preferred + step) % this.pools.length;
      try {
        const answer = await this.sendTo(this.pools[index]!, call);
        this.preferred = index;
        return answer;
      } catch (error) {
        lastError = error;
        if (call.signal.aborted || (!call.repeatable && !unsentCodes.has(codeOf(error)))) {
          break;
        }
      }
    }
    throw describeError(lastError, call);
  }

  /** Sends a call and parses its JSON answer. */
  async call<Schema extends zod.ZodType>(
    call: GatewayCall,
    schema: Schema,
  ): Promise<zod.infer<Schema>> {
    const answer = await this.send(call);
    const parsed = schema.safeParse(await readJson(answer, call));
    if (!parsed.success) {
      throw new FailureError('StoreRejected', `${call.path}: ${parsed.error.message}`);
    }
    return parsed.data;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  private async sendTo(
    pool: undici.Pool,
    call: GatewayCall,
  ): Promise<undici.Dispatcher.ResponseData> {
    this.callCounts[call.kind] += 1;
    const answer = await pool.request({
      path: call.path,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(call.body),
      signal: call.signal,
    });
    if (answer.statusCode === HTTP_OK) {
      return answer;
    }
    const detail = await answer.body.text();
    const kind = answer.statusCode === HTTP_UNAVAILABLE ? 'StoreUnavailable' : 'StoreRejected';
    throw new FailureError(kind, `${call.path} answered ${answer.statusCode}: ${detail}`);
  }
}
