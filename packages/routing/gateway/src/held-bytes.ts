/**
 * The request bodies that a daemon holds in memory, with a limit for all of them together.
 */
import type { IncomingMessage } from 'node:http';
import { FailureError } from '@dogwoodstall/results';

function toError(reason: unknown): Error {
  return reason instanceof Error ? reason : new FailureError('CallerCancelled');
}

/** Counts held bytes. */
export class HeldBytes {
  private held = 0;

  constructor(private readonly maximumBytes: number) {}

  /** Returns whether that many more bytes may be held, and counts them if so. */
  take(bytes: number): boolean {
    if (this.held + bytes > this.maximumBytes) {
      return false;
    }
    this.held += bytes;
    return true;
  }

  release(bytes: number): void {
    this.held -= bytes;
  }
}

/** A body that was read to its end. */
export interface HeldBody {
  readonly bytes: Buffer | null;
  readonly release: () => void;
}

/** Options of `readBody`. */
export interface ReadBodyOptions {
  readonly contentLength: number | undefined;
  readonly maximumBytes: number;
  readonly held: HeldBytes;
  readonly signal: AbortSignal;
}

/**
 * Reads the body of a request; throws `RequestBodyTooLarge`, `RequestBodyIncomplete`, `DaemonMemoryFull` or the
 * reason of the signal.
 */
export async function readBody(
  request: IncomingMessage,
  { contentLength, maximumBytes, held, signal }: ReadBodyOptions,
): Promise<HeldBody> {
  if (contentLength === 0) {
    return { bytes: null, release: () => {} };
  }
  if ((contentLength ?? 0) > maximumBytes) {
    throw new FailureError('RequestBodyTooLarge');
  }
  const chunks: Buffer[] = [];
  let length = 0;
  const release = (): void => held.release(length);
  try {
    await new Promise<void>((resolve, reject) => {
      const onAbort = (): void => reject(toError(signal.reason));
      signal.addEventListener('abort', onAbort, { once: true });
      request.on('data', (chunk: Buffer) => {
        if (length + chunk.length > maximumBytes) {
          reject(new FailureError('RequestBodyTooLarge'));
        } else if (held.take(chunk.length)) {
          length += chunk.length;
          chunks.push(chunk);
        } else {
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
  return { bytes: Buffer.concat(chunks, length), release };
}
