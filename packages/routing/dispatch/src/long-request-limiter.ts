/**
 * The share of the slots that long requests may use.
 */
import type { SizeClass } from '@dogwoodstall/model';
import type { Capacity } from './endpoint-pool.js';

/** After this time without a short request, long requests may use all slots. */
const SHORT_IDLE_MILLISECONDS = 1000;

/** Fraction of their share that long requests get even while requests of higher priority wait. */
const GUARANTEED_FRACTION = 0.5;

/**
 * Limits long requests to a share of the slots while short requests arrive, and guarantees them part
 * of that share.
 */
export class LongRequestLimiter {
  private lastShortAt = -Infinity;

  constructor(public share: number) {}

  /** Records the arrival of a request. */
  recordArrival(sizeClass: SizeClass, now: number): void {
    if (sizeClass === 'short') {
      this.lastShortAt = now;
    }
  }

  /** Returns the number of slots that long requests may currently use. */
  limit(slots: number, now: number): number {
    if (now - this.lastShortAt > SHORT_IDLE_MILLISECONDS) {
      return slots;
    }
    return this.reservedSlots(slots);
  }

  /** Returns whether one more long request may start. */
  canStart(capacity: Capacity, now: number): boolean {
    return capacity.longInFlight < this.limit(capacity.slots, now);
  }

  /** Returns whether fewer long requests are running than are guaranteed. */
  isBelowGuarantee(capacity: Capacity): boolean {
    const guaranteed = Math.max(
      1,
      Math.floor(this.reservedSlots(capacity.slots) * GUARANTEED_FRACTION),
    );
    return capacity.longInFlight < guaranteed;
  }

  private reservedSlots(slots: number): number {
    return Math.max(1, Math.floor(slots * this.share));
  }
}
