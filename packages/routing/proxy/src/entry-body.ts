/**
 * Opens request bodies at the entry daemon. With `Expect: 100-continue`, the caller waits for a 100
 * response before it sends the body: for a large body once the request is about to be sent on, for a
 * small one once route, organisation and idempotency key are checked.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Route } from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import type { BodyStallDetector } from './body-stall-detector.js';
import { type CallerBody, MAXIMUM_BUFFERED_BODY_BYTES, openCallerBody } from './caller-body.js';
import { StreamedBody } from './streamed-body.js';

/** Options of `openEntryBody`. */
export interface EntryBodyOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Undefined for a chunked body. */
  readonly length: number | undefined;
  readonly route: Route;
  readonly stallDetector: BodyStallDetector;
  /** Whether the request will be rejected because of its idempotency key. */
  readonly hasUnusableKey: () => boolean;
}

async function readWithinTimeout(options: EntryBodyOptions): Promise<CallerBody> {
  const { request, length, route, stallDetector } = options;
  let unwatch = (): void => {};
  const stalled = new Promise<never>((_resolve, reject) => {
    unwatch = stallDetector.watch(request, () => reject(new FailureError('RequestTooSlow')));
  });
  try {
    return await Promise.race([openCallerBody(request, length, route.maximumBodyBytes), stalled]);
  } finally {
    unwatch();
  }
}

/** Opens the body of a request; rejects with the failure to report. */
export async function openEntryBody(options: EntryBodyOptions): Promise<CallerBody> {
  const { request, response, length, route, hasUnusableKey } = options;
  const small = length !== undefined && length <= MAXIMUM_BUFFERED_BODY_BYTES;
  if (request.complete || (length ?? 0) > route.maximumBodyBytes) {
    return openCallerBody(request, length, route.maximumBodyBytes);
  }
  if (request.headers.expect === undefined) {
    return small
      ? readWithinTimeout(options)
      : openCallerBody(request, length, route.maximumBodyBytes);
  }
  const sendContinue = (): void => response.writeContinue();
  if (small && !hasUnusableKey()) {
    sendContinue();
    return readWithinTimeout(options);
  }
  return new StreamedBody(request, length, route.maximumBodyBytes, sendContinue);
}
