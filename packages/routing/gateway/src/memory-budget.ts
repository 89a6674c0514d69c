/**
 * A limit on the memory of the bodies that a daemon buffers.
 */

/** Last part of the limit, which only requests with little memory may use. */
const SMALL_RESERVE = 0.1;
/** A request that holds no more than this is served while larger ones have used up the memory. */
const SMALL_BYTES = 262_144;

/** Options of `MemoryBudget`. */
export interface MemoryBudgetOptions {
  readonly maximumBytes: number;
  /** A limit that applies to the bytes of this one too. */
  readonly parent?: MemoryBudget;
  /** Called when the limit would be exceeded; may close shares that are no longer needed. */
  readonly reclaim?: (missingBytes: number) => void;
}

/** Tracks the bytes buffered by all requests against a common limit. */
export class MemoryBudget {
  private reservedBytes = 0;

  constructor(private readonly options: MemoryBudgetOptions) {}

  /** Reserves bytes for a request that holds some already; returns false if the limit would be exceeded. */
  reserve(bytes: number, heldBytes = 0): boolean {
    const { maximumBytes, parent, reclaim } = this.options;
    const isSmall = heldBytes + bytes <= SMALL_BYTES;
    const limit = isSmall ? maximumBytes : maximumBytes * (1 - SMALL_RESERVE);
    if (this.reservedBytes + bytes > limit) {
      reclaim?.(this.reservedBytes + bytes - limit);
    }
    if (this.reservedBytes + bytes > limit || parent?.reserve(bytes, heldBytes) === false) {
      return false;
    }
    this.reservedBytes += bytes;
    return true;
  }

  /** Returns reserved bytes to the limit. */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
    this.options.parent?.release(bytes);
  }
}
