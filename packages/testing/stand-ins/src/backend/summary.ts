/**
 * The check of an answer body, whether it is a JSON summary or streamed content.
 */
import { ContentVerifier, type ContentFinding } from './content.js';

/** Checks an answer without `?answer=`: one JSON object that repeats the token. */
export class SummaryVerifier {
  private readonly chunks: Uint8Array[] = [];

  private readonly token: string;

  constructor(token: string) {
    this.token = token;
  }

  update(chunk: Uint8Array): void {
    this.chunks.push(chunk);
  }

  finish(): ContentFinding {
    try {
      const answer = JSON.parse(Buffer.concat(this.chunks).toString('utf8')) as { token?: unknown };
      return answer.token === this.token ? 'complete' : 'foreign';
    } catch {
      return 'cut';
    }
  }
}

/** Creates the check of an answer; without a size the answer is a JSON summary. */
export function createVerifier(
  token: string,
  answerBytes: number | undefined,
): ContentVerifier | SummaryVerifier {
  return answerBytes === undefined
    ? new SummaryVerifier(token)
    : new ContentVerifier(token, answerBytes);
}
