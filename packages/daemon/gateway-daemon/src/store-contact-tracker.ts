/**
 * Detects outages of the store from the contacts of this daemon and its peers. A gap in the contacts of all of them means
 * that the store was unavailable; a store that rejects only this daemon leaves no gap.
 */

/** Gap in contacts that counts as an outage; longer than the time between two responses of a store without changes. */
export const MAXIMUM_CONTACT_GAP_MILLISECONDS = 1800;
/** After an outage, endpoints register their expired entries again within about two seconds. */
const REREGISTRATION_MILLISECONDS = 2300;

/** Tracks contacts with the store, in monotonic milliseconds. */
export class StoreContactTracker {
  private latestAt = -Infinity;

  private recoveredAt = -Infinity;

  /** Records a contact of this daemon or a peer with the store. */
  record(at: number): void {
    if (this.latestAt > -Infinity && at - this.latestAt > MAXIMUM_CONTACT_GAP_MILLISECONDS) {
      this.recoveredAt = at;
    }
    this.latestAt = Math.max(this.latestAt, at);
  }

  /** Time until which a missing entry may have expired during an outage although its endpoint is running. */
  get toleranceEndsAt(): number {
    return this.recoveredAt + REREGISTRATION_MILLISECONDS;
  }
}
