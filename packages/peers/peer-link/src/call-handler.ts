/**
 * Handles calls in the tRPC wire format directly on Node.js requests. The standalone adapter of tRPC
 * converts each request and response to web streams, which costs more than the rest of a small call.
 */
import type * as http from 'node:http';
import { FailureError, toFailure, type ResultName } from '@dogwoodstall/results';
import { getTRPCErrorFromUnknown, TRPCError } from '@trpc/server';
import { getHTTPStatusCodeFromError } from '@trpc/server/http';
import { procedures, type ProcedureName } from './messages.js';
import type { PeerCaller } from './router.js';

const MAXIMUM_CALL_BYTES = 2_097_152;
const HTTP_OK = 200;
// JSON-RPC code of an internal error; the tRPC client requires a numeric code.
const INTERNAL_ERROR_CODE = -32_603;

function getResultName(error: TRPCError): ResultName {
  if (error.cause instanceof FailureError) {
    return error.cause.failure.kind;
  }
  const malformed = error.code === 'BAD_REQUEST' || error.code === 'PARSE_ERROR';
  const isInvalid = malformed || error.code === 'PAYLOAD_TOO_LARGE' || error.code === 'NOT_FOUND';
  return isInvalid ? 'PeerMessageInvalid' : toFailure(error).kind;
}

function findProcedure(path: string): ProcedureName {
  if (!Object.hasOwn(procedures, path)) {
    throw new TRPCError({ code: 'NOT_FOUND', message: `there is no procedure "${path}"` });
  }
  return path as ProcedureName;
}

// Event listeners cost less than asynchronous iteration over the request.
async function readText(request: http.IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAXIMUM_CALL_BYTES) {
        request.pause();
        reject(new TRPCError({ code: 'PAYLOAD_TOO_LARGE' }));
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    request.once('error', reject);
    request.once('close', () => reject(new TRPCError({ code: 'CLIENT_CLOSED_REQUEST' })));
  });
}

async function readBody(request: http.IncomingMessage): Promise<unknown> {
  const text = await readText(request);
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new TRPCError({ code: 'PARSE_ERROR', cause });
  }
}

function send(response: http.ServerResponse, status: number, body: object): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const text = JSON.stringify(body);
  const length = Buffer.byteLength(text);
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': length });
  response.end(text);
}

function sendError(response: http.ServerResponse, error: unknown): void {
  const failure = getTRPCErrorFromUnknown(error);
  const httpStatus = getHTTPStatusCodeFromError(failure);
  if (failure.code === 'PAYLOAD_TOO_LARGE') {
    // The rest of the body is not read, so the connection cannot be reused.
    response.setHeader('connection', 'close');
  }
  const data = { code: failure.code, httpStatus, result: getResultName(failure) };
  send(response, httpStatus, {
    error: { message: failure.message, code: INTERNAL_ERROR_CODE, data },
  });
}

/** Handles one call and sends the response; `path` is the name of the procedure. */
export async function handleCall(
  path: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  caller: PeerCaller,
): Promise<void> {
  try {
    const name = findProcedure(path);
    const call = caller[name] as (input: unknown) => Promise<unknown>;
    const data = await call(await readBody(request));
    send(response, HTTP_OK, { result: { data } });
  } catch (error) {
    sendError(response, error);
  }
}
