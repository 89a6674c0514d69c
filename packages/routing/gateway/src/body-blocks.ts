/**
 * Collects the pieces of a body in blocks. Pieces are copied, since a sender may cut a body into pieces of one byte, and
 * each would take many times its size, or surround a piece with framing that its buffer keeps in memory.
 */
import type { MemoryBudget } from './body-buffer.js';

const FIRST_BLOCK_BYTES = 4096;
/** The same for a body whose length was announced. */
const FIRST_EXPECTED_BYTES = 65_536;
const MAXIMUM_BLOCK_BYTES = 1_048_576;

/** The blocks of one body, which count against a memory limit with their full size. */
export class BodyBlocks {
  private blocks: Buffer[] = [];

  private free = Buffer.alloc(0);

  private reservedBytes = 0;

  private totalBytes = 0;

  /** `expectedBytes` is the announced length of the body, if there is one; the body need not have it. */
  constructor(
    private readonly memoryBudget: MemoryBudget,
    private readonly expectedBytes = 0,
  ) {}

  get length(): number {
    return this.totalBytes;
  }

  /** Adds a piece; returns false if the memory limit would be exceeded. */
  append(piece: Buffer): boolean {
    let rest = piece;
    while (rest.length > 0) {
      if (this.free.length === 0 && !this.addBlock(rest.length)) {
        return false;
      }
      const copied = rest.copy(this.free);
      this.free = this.free.subarray(copied);
      rest = rest.subarray(copied);
      this.totalBytes += copied;
    }
    return true;
  }

  /** Returns the body. */
  list(): readonly Buffer[] {
    const last = this.blocks.at(-1);
    if (last === undefined || this.free.length === 0) {
      return this.blocks;
    }
    return [...this.blocks.slice(0, -1), last.subarray(0, last.length - this.free.length)];
  }

  /** Drops the blocks and returns their memory to the limit. */
  release(): void {
    this.memoryBudget.release(this.reservedBytes);
    this.reservedBytes = 0;
    this.blocks = [];
    this.free = Buffer.alloc(0);
  }

  // The first block is small even if a long body is announced, because its sender may send only a part of it.
  private addBlock(neededBytes: number): boolean {
    const missingBytes = this.expectedBytes - this.totalBytes;
    const isExpected = missingBytes >= neededBytes;
    const smallest = isExpected ? Math.min(missingBytes, FIRST_EXPECTED_BYTES) : FIRST_BLOCK_BYTES;
    const grown = Math.min(Math.max(smallest, this.totalBytes), MAXIMUM_BLOCK_BYTES);
    const size = isExpected ? Math.min(grown, missingBytes) : grown;
    if (!this.memoryBudget.reserve(size)) {
      return false;
    }
    this.reservedBytes += size;
    this.free = Buffer.allocUnsafeSlow(size);
    this.blocks.push(this.free);
    return true;
  }
}
