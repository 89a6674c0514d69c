/**
 * Collects the pieces of a body in blocks. Pieces are copied, since a sender may cut a body into pieces of one byte, and
 * each would take many times its size, or surround a piece with framing that its buffer keeps in memory.
 */
import type { MemoryShare } from './memory-share.js';

const FIRST_BLOCK_BYTES = 4096;
/** The same for a body whose length was announced. */
const FIRST_EXPECTED_BYTES = 65_536;
const MAXIMUM_BLOCK_BYTES = 1_048_576;
const RESERVED_STEP_BYTES = 262_144;

/** The blocks of one body, which count against a memory limit with their full size. */
export class BodyBlocks {
  private blocks: Buffer[] = [];

  private free = Buffer.alloc(0);

  private reservedBytes = 0;

  private totalBytes = 0;

  /** `expectedBytes` is the announced length of the body, if there is one; the body need not have it. */
  constructor(
    private readonly memoryShare: Pick<MemoryShare, 'reserve' | 'release'>,
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
      const copied = Math.min(rest.length, this.free.length);
      if (!this.reserveUpTo(this.totalBytes + copied)) {
        return false;
      }
      rest.copy(this.free, 0, 0, copied);
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
    this.memoryShare.release(this.reservedBytes);
    this.reservedBytes = 0;
    this.blocks = [];
    this.free = Buffer.alloc(0);
  }

  // The first block is small even if a long body is announced, because its sender may send only a part of it.
  private addBlock(neededBytes: number): boolean {
    const missingBytes = this.expectedBytes - this.totalBytes;
    if (missingBytes < neededBytes) {
      const grown = Math.max(FIRST_BLOCK_BYTES, this.totalBytes);
      const size = Math.min(grown, MAXIMUM_BLOCK_BYTES);
      return this.reserveUpTo(this.totalBytes + size) && this.allocate(size);
    }
    if (this.totalBytes === 0) {
      const size = Math.min(missingBytes, FIRST_EXPECTED_BYTES);
      return this.reserveUpTo(size) && this.allocate(size);
    }
    return this.replaceByWhole();
  }

  private allocate(size: number): boolean {
    try {
      this.free = Buffer.allocUnsafeSlow(size);
    } catch {
      // The system has no address space left.
      return false;
    }
    this.blocks.push(this.free);
    return true;
  }

  /** Moves what there is to one block for the whole body. The system provides its memory as it is written to. */
  private replaceByWhole(): boolean {
    const parts = this.blocks;
    this.blocks = [];
    if (!this.allocate(this.expectedBytes)) {
      return false;
    }
    for (const part of parts) {
      part.copy(this.free);
      this.free = this.free.subarray(part.length);
    }
    return true;
  }

  private reserveUpTo(bytes: number): boolean {
    const missing = bytes - this.reservedBytes;
    if (missing <= 0) {
      return true;
    }
    // In steps, because the pieces may be small.
    const step = Math.max(missing, Math.min(RESERVED_STEP_BYTES, this.totalBytes));
    if (!this.memoryShare.reserve(step)) {
      return false;
    }
    this.reservedBytes += step;
    return true;
  }
}
