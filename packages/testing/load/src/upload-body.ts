/**
 * Streamed request bodies with deterministic content, optionally paced over a period of time.
 */
import { createHash, type Hash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

const CHUNK_BYTES = 65_536;
const PACED_CHUNKS = 50;

/** Request body that computes the digest of the bytes it has produced. */
export class UploadBody {
  private readonly hash: Hash = createHash('sha256');

  private readonly token: string;

  private readonly bytes: number;

  private readonly milliseconds: number;

  constructor(token: string, bytes: number, milliseconds: number) {
    this.token = token;
    this.bytes = bytes;
    this.milliseconds = milliseconds;
  }

  /** Returns the SHA-256 digest in hexadecimal; must be called only once, after the body was sent. */
  digest(): string {
    return this.hash.digest('hex');
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Buffer> {
    const paced = this.milliseconds > 0;
    const size = paced ? Math.min(CHUNK_BYTES, Math.ceil(this.bytes / PACED_CHUNKS)) : CHUNK_BYTES;
    const chunkDelay = (this.milliseconds * size) / this.bytes;
    for (let sent = 0; sent < this.bytes; sent += size) {
      const chunk = Buffer.alloc(Math.min(size, this.bytes - sent), `${this.token}:${sent};`);
      this.hash.update(chunk);
      yield chunk;
      if (paced) {
        await sleep(chunkDelay);
      }
    }
  }
}
