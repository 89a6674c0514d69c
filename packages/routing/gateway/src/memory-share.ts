/**
 * The memory of one request within a limit that is common to all.
 */
import type { MemoryBudget } from './memory-budget.js';

/** Counts the bytes that a request holds, and returns them at its end at the latest. */
export class MemoryShare {
  private heldBytes = 0;

  private closed = false;

  constructor(private readonly budget: MemoryBudget) {}

  /** Bytes that the request holds. */
  get held(): number {
    return this.heldBytes;
  }

  /** Reserves bytes; returns false, without reserving any, if the limit would be exceeded or the request has ended. */
  reserve(bytes: number): boolean {
    if (this.closed || !this.budget.reserve(bytes, this.heldBytes)) {
      return false;
    }
    this.heldBytes += bytes;
    return true;
  }

  /** Returns reserved bytes. */
  release(bytes: number): void {
    if (!this.closed) {
      this.heldBytes -= bytes;
      this.budget.release(bytes);
    }
  }

  /** Returns all bytes; none can be reserved any more. */
  close(): void {
    if (!this.closed) {
      this.budget.release(this.heldBytes);
      this.heldBytes = 0;
      this.closed = true;
    }
  }
}
