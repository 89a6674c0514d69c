/**
 * When this daemon, or one that it hears from, reached the store. A gap in the news of all of them means that the store
 * was away; a store that turned only this daemon away leaves no gap.
 */

/** Longer than the longest time between two answers of a store in which nothing changes. */
export const STORE_NEWS_MILLISECONDS = 1800;
/** Endpoints write their lapsed entries again within about two seconds after an outage. */
const RETURN_MILLISECONDS = 2300;

/** The news of the store, in monotonic milliseconds. */
export class StoreNews {
  private latestAt = -Infinity;

  private returnedAt = -Infinity;

  /** Notes that somebody reached the store. */
  note(at: number): void {
    if (this.latestAt > -Infinity && at - this.latestAt > STORE_NEWS_MILLISECONDS) {
      this.returnedAt = at;
    }
    this.latestAt = Math.max(this.latestAt, at);
  }

  /** Until this time, an entry that is missing may have lapsed although its endpoint lives. */
  get lapsedUntil(): number {
    return this.returnedAt + RETURN_MILLISECONDS;
  }
}
