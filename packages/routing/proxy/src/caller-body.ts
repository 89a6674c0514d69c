/**
 * Request bodies: small ones are buffered so that a retry can send them again, larger ones are streamed
 * with back-pressure and can be replayed only before any of them has been read.
 */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { FailureError } from '@dogwoodstall/results';
import { StreamedBody } from './streamed-body.js';

/** Bodies up to this size are buffered for retries. */
export const MAXIMUM_BUFFERED_BODY_BYTES = 65_536;

/** The body of one request. */
export interface CallerBody {
  /** The complete body if it is buffered. */
  readonly buffered: Buffer | undefined;
  /** Undefined for a chunked body. */
  readonly length: number | undefined;
  /** Whether the body can still be sent from the start. */
  readonly replayable: boolean;
  /** Whether the caller has sent the complete body. */
  readonly complete: boolean;
  /** Returns the body to send to the next hop; call once per attempt. */
  open(): Buffer | Readable | null;
}

class BufferedBody implements CallerBody {
  readonly replayable = true;

  readonly complete = true;

  constructor(readonly buffered: Buffer) {}

  get length(): number {
    return this.buffered.length;
  }

  open(): Buffer | null {
    return this.buffered.length === 0 ? null : this.buffered;
  }
}

function readBody(request: IncomingMessage, length: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () =>
      resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks, length)),
    );
    const fail = (): void => {
      if (!request.complete) {
        reject(new FailureError('RequestBodyIncomplete'));
      }
    };
    request.on('error', fail).on('close', fail);
  });
}

/** Opens the body of a request; rejects with `RequestBodyTooLarge` or `RequestBodyIncomplete`. */
export async function openCallerBody(
  request: IncomingMessage,
  contentLength: number | undefined,
  maximumBytes: number,
): Promise<CallerBody> {
  if (contentLength !== undefined && contentLength > maximumBytes) {
    throw new FailureError('RequestBodyTooLarge');
  }
  if (contentLength === 0) {
    return new BufferedBody(Buffer.alloc(0));
  }
  if (contentLength !== undefined && contentLength <= MAXIMUM_BUFFERED_BODY_BYTES) {
    return new BufferedBody(await readBody(request, contentLength));
  }
  return new StreamedBody(request, contentLength, maximumBytes);
}
