/**
 * The share of the slots that long requests may use.
 */
import type { SizeClass } from '@dogwoodstall/model';
import type { Capacity } from './endpoint-pool.js';

/** After this time without a short request, long ones may use the rest of the slots. */
const SHORT_PAUSE_MILLISECONDS = 1000;

/** Part of their share that long requests get even when more important work waits. */
const GUARANTEED_PART = 0.5;

/** Limits long requests while short ones may come, and guarantees them a part. */
export class LongShare {
  private lastShortAt = -Infinity;

  constructor(public share: number) {}

  /** Registers the arrival of a request. */
  noteArrival(sizeClass: SizeClass, now: number): void {
    if (sizeClass === 'short') {
      this.lastShortAt = now;
    }
  }

  /** Returns how many slots long requests may use now. */
  limit(slots: number, now: number): number {
    if (now - this.lastShortAt > SHORT_PAUSE_MILLISECONDS) {
      return slots;
    }
    return this.reserved(slots);
  }

  /** Returns whether one more long request may start. */
  allows(capacity: Capacity, now: number): boolean {
    return capacity.longInFlight < this.limit(capacity.slots, now);
  }

  /** Returns whether long requests have less than their guaranteed part. */
  isGuaranteed(capacity: Capacity): boolean {
    const guaranteed = Math.max(1, Math.floor(this.reserved(capacity.slots) * GUARANTEED_PART));
    return capacity.longInFlight < guaranteed;
  }

  private reserved(slots: number): number {
    return Math.max(1, Math.floor(slots * this.share));
  }
}
