/**
 * Failure responses: the result code, whether the request was executed, and a small JSON body.
 */
import { type IncomingMessage, STATUS_CODES, type ServerResponse } from 'node:http';
import { type Failure, findResult } from '@dogwoodstall/results';
import { EXECUTION_HEADER, RESULT_HEADER } from './headers.js';

const MAXIMUM_DRAINED_BYTES = 4_194_304;

// After these, the bytes that follow may be misread as another request, so the connection is closed.
const CLOSING_RESULTS: ReadonlySet<string> = new Set([
  'RequestMalformed',
  'RequestAmbiguousLength',
  'RequestHostInvalid',
  'MethodUnsupported',
]);

/** Value of the result header on a response from a backend server. */
export const BACKEND_RESPONSE_RESULT = '0';

/** Returns the execution status that the failure response reports. */
export function describeExecution(failure: Failure): 'ran' | 'not-run' | 'not-known' {
  if (failure.kind === 'KeyReused') {
    return 'not-run';
  }
  const { execution } = findResult(failure.kind);
  return execution === 'not-applicable' ? 'not-known' : execution;
}

function formatBody(failure: Failure): string {
  return JSON.stringify({
    number: findResult(failure.kind).number,
    name: failure.kind,
    execution: describeExecution(failure),
    message: failure.message,
  });
}

function listHeaders(failure: Failure, requestId: string, length: number): Record<string, string> {
  return {
    'Content-Type': 'application/json',
    'Content-Length': String(length),
    [RESULT_HEADER]: String(findResult(failure.kind).number),
    [EXECUTION_HEADER]: describeExecution(failure),
    'Request-Id': requestId,
  };
}

// Closing the connection while the caller still sends would reset it and lose the response.
function drainRequest(request: IncomingMessage): void {
  let drained = 0;
  request.on('error', () => {});
  request.on('data', (chunk: Buffer) => {
    drained += chunk.length;
    if (drained > MAXIMUM_DRAINED_BYTES) {
      request.destroy();
    }
  });
  request.resume();
}

/**
 * Sends a failure response. Up to 4 MiB of an unread request body are read and discarded, so that the
 * caller can finish sending and read the response.
 */
export function sendFailure(
  response: ServerResponse,
  failure: Failure,
  requestId: string,
  extraHeaders: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = formatBody(failure);
  const headers = listHeaders(failure, requestId, Buffer.byteLength(body));
  // A caller that waits for 100 Continue may or may not send its body after a rejection, so the next
  // bytes on the connection are ambiguous.
  const bodyWithheld = response.req.headers.expect !== undefined && !response.req.complete;
  if (bodyWithheld || CLOSING_RESULTS.has(failure.kind)) {
    headers.Connection = 'close';
  }
  response.writeHead(findResult(failure.kind).httpStatus, { ...headers, ...extraHeaders });
  response.end(body);
  if (!response.req.complete) {
    drainRequest(response.req);
  }
}

/** Formats a complete failure response as text, for connections without a parsed request. */
export function formatRawFailure(failure: Failure, requestId: string): string {
  const body = formatBody(failure);
  const status = findResult(failure.kind).httpStatus;
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, 'Connection: close'];
  const headers = listHeaders(failure, requestId, Buffer.byteLength(body));
  for (const [name, value] of Object.entries(headers)) {
    lines.push(`${name}: ${value}`);
  }
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
