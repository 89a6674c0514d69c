/**
 * Sends calls in the tRPC wire format directly through a connection pool. The HTTP link of tRPC passes
 * each call through several layers of the Fetch API, which cost more than a small call itself.
 */
import { TRPCClientError, type TRPCLink } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import type * as undici from 'undici';
import type { PeerRouter } from './router.js';

const HTTP_MULTIPLE_CHOICES = 300;

interface Call {
  readonly path: string;
  readonly input: unknown;
  readonly signal?: AbortSignal | null | undefined;
}

interface CallResponse {
  readonly result: { readonly data: unknown };
}

async function send(pool: undici.Pool, call: Call): Promise<CallResponse> {
  const response = await pool.request({
    path: `/trpc/${call.path}`,
    method: 'POST',
    headers: ['content-type', 'application/json'],
    body: JSON.stringify(call.input),
    signal: call.signal ?? null,
  });
  const body: unknown = JSON.parse(await response.body.text());
  if (response.statusCode >= HTTP_MULTIPLE_CHOICES) {
    throw TRPCClientError.from<PeerRouter>(body as Parameters<typeof TRPCClientError.from>[0]);
  }
  return body as CallResponse;
}

/** Creates a tRPC client link that sends each call as one request through a pool. */
export function createCallLink(pool: undici.Pool): TRPCLink<PeerRouter> {
  return () =>
    ({ op }) =>
      observable((observer) => {
        send(pool, op)
          .then(({ result }) => {
            observer.next({ result });
            observer.complete();
          })
          .catch((error: unknown) => observer.error(TRPCClientError.from(error as Error)));
      });
}
