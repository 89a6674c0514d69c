/**
 * Detects outages of the store from what this daemon and its peers experience. An outage is a gap in the contacts of all
 * of them in which calls failed. A store that rejects only some daemons leaves no gap, and a gap without failed calls
 * means that no daemon called, for instance because those that watch the store were suspended.
 */

/** Gap in contacts that may be an outage; longer than the time between two responses of a store without changes. */
export const MAXIMUM_CONTACT_GAP_MILLISECONDS = 1800;
/** After an outage, or when the store has lost changes, endpoints register their expired entries again within about two seconds. */
export const REREGISTRATION_MILLISECONDS = 2300;

/** Tracks contacts with the store and failed calls, in monotonic milliseconds. */
export class StoreContactTracker {
  private latestAt = -Infinity;

  private failedAt = -Infinity;

  private recoveredAt = -Infinity;

  /** Records a contact of this daemon or a peer with the store. */
  record(at: number): void {
    const isGap =
      this.latestAt > -Infinity && at - this.latestAt > MAXIMUM_CONTACT_GAP_MILLISECONDS;
    if (isGap && this.failedAt > this.latestAt) {
      this.recoveredAt = at;
    }
    this.latestAt = Math.max(this.latestAt, at);
  }

  /** Records that a call of this daemon or a peer failed, although the calling process was running. */
  recordFailure(at: number): void {
    this.failedAt = Math.max(this.failedAt, at);
  }

  /**
   * Takes a suspension of this daemon out of the gap: it did not hear of the contacts of its peers meanwhile, but reads a
   * failed call that one of them reported.
   */
  resume(suspendedMilliseconds: number): void {
    this.latestAt += suspendedMilliseconds;
    this.failedAt += suspendedMilliseconds;
  }

  /** Time until which a missing entry may have expired during an outage although its endpoint is running. */
  get toleranceEndsAt(): number {
    return this.recoveredAt + REREGISTRATION_MILLISECONDS;
  }
}
