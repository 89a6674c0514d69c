/**
 * Buffers request bodies in memory, within a limit on the total across all requests.
 */
import type { IncomingMessage } from 'node:http';
import { setImmediate as yieldToSockets } from 'node:timers/promises';
import { FailureError } from '@dogwoodstall/results';
import { BodyBlocks } from './body-blocks.js';
import type { MemoryShare } from './memory-share.js';

function toError(reason: unknown): Error {
  return reason instanceof Error ? reason : new FailureError('CallerCancelled');
}

/** A fully received request body. */
export interface BufferedBody {
  readonly bytes: Buffer | null;
  readonly release: () => void;
}

/** Options of `readBody`. */
export interface ReadBodyOptions {
  readonly contentLength: number | undefined;
  readonly maximumBytes: number;
  readonly memoryShare: MemoryShare;
  readonly signal: AbortSignal;
}

/**
 * Buffers the body of a request. Throws `RequestBodyTooLarge`, `RequestBodyIncomplete`, `DaemonMemoryFull` or the
 * abort reason of the signal.
 */
export async function readBody(
  request: IncomingMessage,
  { contentLength, maximumBytes, memoryShare, signal }: ReadBodyOptions,
): Promise<BufferedBody> {
  if (contentLength === 0) {
    return { bytes: null, release: () => {} };
  }
  if ((contentLength ?? 0) > maximumBytes) {
    throw new FailureError('RequestBodyTooLarge');
  }
  // A request that has been closed emits no further events.
  if (request.destroyed) {
    throw new FailureError('RequestBodyIncomplete');
  }
  if (signal.aborted) {
    throw toError(signal.reason);
  }
  const isHeldBack = request.readableLength >= request.readableHighWaterMark;
  const blocks = new BodyBlocks(memoryShare, contentLength);
  const release = (): void => blocks.release();
  try {
    await new Promise<void>((resolve, reject) => {
      const onAbort = (): void => reject(toError(signal.reason));
      signal.addEventListener('abort', onAbort, { once: true });
      request.on('data', (chunk: Buffer) => {
        if (blocks.length + chunk.length > maximumBytes) {
          reject(new FailureError('RequestBodyTooLarge'));
        } else if (!blocks.append(chunk)) {
          reject(new FailureError('DaemonMemoryFull'));
        }
      });
      request.once('end', () => {
        signal.removeEventListener('abort', onAbort);
        resolve();
      });
      request.once('close', () => reject(new FailureError('RequestBodyIncomplete')));
      request.once('error', () => reject(new FailureError('RequestBodyIncomplete')));
    });
  } catch (error) {
    request.removeAllListeners('data');
    release();
    throw error;
  }
  if (isHeldBack) {
    // While the buffer of the request was full, nothing was read from the connection, not even that the caller has left.
    // The last bytes are read in one turn of the event loop, and the end of the connection in the next.
    await yieldToSockets();
    await yieldToSockets();
  }
  const [first, ...others] = blocks.list();
  const bytes = first !== undefined && others.length === 0 ? first : Buffer.concat(blocks.list());
  return { bytes, release };
}
