/**
 * Verifies response bodies, which are either a JSON summary or streamed content.
 */
import { ContentVerifier, type ContentStatus } from './content.js';

/** Verifies the response to a request without `?answer=`: a JSON object that repeats the token. */
export class SummaryVerifier {
  private readonly chunks: Uint8Array[] = [];

  private readonly token: string;

  constructor(token: string) {
    this.token = token;
  }

  update(chunk: Uint8Array): void {
    this.chunks.push(chunk);
  }

  finish(): ContentStatus {
    try {
      const summary = JSON.parse(Buffer.concat(this.chunks).toString('utf8')) as {
        token?: unknown;
      };
      return summary.token === this.token ? 'complete' : 'foreign';
    } catch {
      return 'cut';
    }
  }
}

/** Creates the verifier of a response; without a size, a JSON summary is expected. */
export function createVerifier(
  token: string,
  responseBytes: number | undefined,
): ContentVerifier | SummaryVerifier {
  return responseBytes === undefined
    ? new SummaryVerifier(token)
    : new ContentVerifier(token, responseBytes);
}
