/**
 * Schedules when refused callers may return. They return at the rate at which the cell serves requests, the more urgent
 * ones first, so that a crest of refused requests does not come back as a second one.
 */

/** The capacity of a cell and the time that a refused caller has left. */
export interface ReturnOptions {
  /** Milliseconds until a slot is expected to be free for the caller. */
  readonly expectedWait: number;
  /** Milliseconds in which the cell serves one request. */
  readonly spacing: number;
  /** Latest delay after which the caller still has time for its request. */
  readonly maximum: number;
}

/** The times that have been given to refused callers of one cell, by priority. */
export class ReturnSchedule {
  private readonly nextAtByPriority = new Map<number, number>();

  /** Returns the delay in milliseconds after which a refused caller may return. */
  schedule(
    priority: number,
    { expectedWait, spacing, maximum }: ReturnOptions,
    now: number,
  ): number {
    const earliestAt = now + expectedWait;
    let returnAt = earliestAt;
    for (const [other, nextAt] of this.nextAtByPriority) {
      if (nextAt < now) {
        this.nextAtByPriority.delete(other);
      } else if (other <= priority) {
        returnAt = Math.max(returnAt, nextAt);
      }
    }
    if (returnAt - now > maximum) {
      // More callers are refused than can return in time; they are spread over the whole time again.
      returnAt = Math.min(earliestAt, now + maximum);
    }
    this.nextAtByPriority.set(priority, returnAt + spacing);
    return returnAt - now;
  }
}
