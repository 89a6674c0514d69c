/**
 * The body of a caller's request: small ones are kept so that they can be sent again, larger ones are
 * streamed with back-pressure and can be sent again only while nothing of them was read.
 */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { FailureError } from '@dogwoodstall/results';
import { StreamedBody } from './streamed-body.js';

/** Bodies up to this length are kept until the answer begins. */
export const KEPT_BODY_BYTES = 65_536;

/** The body of one request. */
export interface CallerBody {
  /** The whole body when it is kept. */
  readonly buffered: Buffer | undefined;
  /** Undefined for a chunked body. */
  readonly length: number | undefined;
  /** Whether the body can still be sent from its beginning. */
  readonly replayable: boolean;
  /** Whether the caller has sent all of it. */
  readonly complete: boolean;
  /** Returns what goes to the next hop; a new object for each attempt. */
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

/** Prepares the body of a request; throws `RequestBodyTooLarge` or `RequestBodyIncomplete`. */
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
  if (contentLength !== undefined && contentLength <= KEPT_BODY_BYTES) {
    return new BufferedBody(await readBody(request, contentLength));
  }
  return new StreamedBody(request, contentLength, maximumBytes);
}
