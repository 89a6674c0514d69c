/**
 * Reads request bodies and streams response bodies of backend server stand-ins.
 */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import type * as http from 'node:http';

/** Size and SHA-256 digest of a received upload. */
export interface UploadSummary {
  readonly bytes: number;
  readonly digest: string;
}

/** Reads an upload to its end; rejects when the caller aborts it. */
export async function readUpload(request: http.IncomingMessage): Promise<UploadSummary> {
  const hash = createHash('sha256');
  let bytes = 0;
  for await (const chunk of request) {
    hash.update(chunk as Buffer);
    bytes += (chunk as Buffer).length;
  }
  return { bytes, digest: hash.digest('hex') };
}

/** Writes content with backpressure; closes the connection after `cutAfter` bytes. */
export async function streamContent(
  response: http.ServerResponse,
  content: Iterable<Buffer>,
  cutAfter: number,
  signal: AbortSignal,
): Promise<void> {
  let sent = 0;
  for (const chunk of content) {
    if (sent + chunk.length > cutAfter) {
      const part = chunk.subarray(0, cutAfter - sent);
      await new Promise<void>((resolve) => {
        response.write(part, () => resolve());
      });
      response.destroy();
      return;
    }
    sent += chunk.length;
    if (!response.write(chunk)) {
      await once(response, 'drain', { signal });
    }
  }
  response.end();
}
