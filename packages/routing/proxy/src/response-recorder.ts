/**
 * Copies a response while it streams to the caller, up to the size limit of the service contract, so
 * that a resend of a non-idempotent request gets the same response.
 */
import type { OutgoingHttpHeaders } from 'node:http';
import type { RecordedResponse } from '@dogwoodstall/idempotency';

/** Records one response. */
export class ResponseRecorder {
  private readonly chunks: Buffer[] = [];

  private bytes = 0;

  private status = 0;

  private headers: OutgoingHttpHeaders = {};

  constructor(private readonly maximumBytes: number) {}

  /** Records status and headers. */
  start(status: number, headers: OutgoingHttpHeaders): void {
    this.status = status;
    this.headers = headers;
  }

  /** Records a chunk; above the size limit the recording is discarded. */
  readonly add = (chunk: Buffer): void => {
    this.bytes += chunk.length;
    if (this.bytes <= this.maximumBytes) {
      this.chunks.push(chunk);
    } else {
      this.chunks.length = 0;
    }
  };

  /** Returns the complete response, or undefined if it was too large. */
  finish(): RecordedResponse | undefined {
    if (this.bytes > this.maximumBytes) {
      return undefined;
    }
    const headers: [string, string][] = [];
    for (const [name, value] of Object.entries(this.headers)) {
      for (const single of Array.isArray(value) ? value : [value]) {
        headers.push([name, String(single)]);
      }
    }
    const body = Buffer.concat(this.chunks).toString('base64');
    return { status: this.status, headers, body };
  }
}
