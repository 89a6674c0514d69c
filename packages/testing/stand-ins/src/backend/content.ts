/**
 * Deterministic content of streamed responses. Each line contains the token of the request and the
 * line number, so that the caller detects a truncated response and one that belongs to another
 * request.
 */
const LINE_BYTES = 256;
const NUMBER_DIGITS = 12;
const LINES_PER_CHUNK = 256;

/** Result of verifying a response body; `foreign` means that it belongs to another request. */
export type ContentStatus = 'complete' | 'cut' | 'foreign';

/** Returns one line; lines of different tokens differ. */
function formatLine(token: string, index: number): string {
  const head = `${token} ${String(index).padStart(NUMBER_DIGITS, '0')} `;
  return `${head.slice(0, LINE_BYTES - 1).padEnd(LINE_BYTES - 1, '.')}\n`;
}

/** Returns the bytes of a response from a given line on, at most one chunk. */
function createChunk(token: string, firstLine: number, remainingBytes: number): Buffer {
  const lineCount = Math.min(LINES_PER_CHUNK, Math.ceil(remainingBytes / LINE_BYTES));
  const lines: string[] = [];
  for (let line = 0; line < lineCount; line += 1) {
    lines.push(formatLine(token, firstLine + line));
  }
  return Buffer.from(lines.join(''), 'latin1').subarray(0, remainingBytes);
}

/** Yields the content of a response in chunks of at most 64 KiB. */
export function* createContent(token: string, bytes: number): Generator<Buffer> {
  let sentBytes = 0;
  while (sentBytes < bytes) {
    const chunk = createChunk(token, sentBytes / LINE_BYTES, bytes - sentBytes);
    sentBytes += chunk.length;
    yield chunk;
  }
}

/** Verifies a response body as it arrives; buffers at most one chunk of expected content. */
export class ContentVerifier {
  private readonly expected: Iterator<Buffer>;

  private readonly bytes: number;

  private current: Buffer = Buffer.alloc(0);

  private receivedBytes = 0;

  private foreign = false;

  constructor(token: string, bytes: number) {
    this.bytes = bytes;
    this.expected = createContent(token, bytes);
  }

  update(chunk: Uint8Array): void {
    let unverified = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    this.receivedBytes += unverified.length;
    while (unverified.length > 0 && !this.foreign) {
      if (this.current.length === 0) {
        const next = this.expected.next();
        this.foreign = next.done === true;
        this.current = next.done === true ? Buffer.alloc(0) : next.value;
      }
      const length = Math.min(unverified.length, this.current.length);
      this.foreign ||= !unverified.subarray(0, length).equals(this.current.subarray(0, length));
      unverified = unverified.subarray(length);
      this.current = this.current.subarray(length);
    }
  }

  finish(): ContentStatus {
    if (this.foreign) {
      return 'foreign';
    }
    return this.receivedBytes === this.bytes ? 'complete' : 'cut';
  }
}
