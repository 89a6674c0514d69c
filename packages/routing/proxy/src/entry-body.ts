/**
 * The body of a caller's request at the entry. A caller that sends `Expect: 100-continue` holds its body
 * back until it is asked for: a large body after the request was admitted and is about to be sent on, a
 * small one after route, organisation and key were checked.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Route } from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import type { BodyStallDetector } from './body-stall-detector.js';
import { type CallerBody, KEPT_BODY_BYTES, openCallerBody } from './caller-body.js';
import { StreamedBody } from './streamed-body.js';

/** Options of `openEntryBody`. */
export interface EntryBodyOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Undefined for a chunked body. */
  readonly length: number | undefined;
  readonly route: Route;
  readonly stallDetector: BodyStallDetector;
  /** Whether the request will be refused for its key. */
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

/** Opens the body of a request; rejects with the failure to tell. */
export async function openEntryBody(options: EntryBodyOptions): Promise<CallerBody> {
  const { request, response, length, route, hasUnusableKey } = options;
  const small = length !== undefined && length <= KEPT_BODY_BYTES;
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
