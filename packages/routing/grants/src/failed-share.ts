/**
 * The share of recent attempts that failed. An attempt counts as failed as soon as its response is overdue, since one
 * that hangs ends at its deadline only.
 */

/** Weight of a new outcome in the moving average. */
const OUTCOME_WEIGHT = 0.04;
/** Multiple of the mean service time from which a response is overdue; few responses of healthy endpoints take longer. */
const OVERDUE_MULTIPLE = 2.6;

/** What the share needs of an attempt. */
export interface TimedAttempt {
  readonly startedAt: number;
  /** Mean service time. */
  readonly expected: number;
}

/** A moving average over the outcomes of attempts. */
export class FailedShare {
  private share = 0;

  /** Times from which the responses of attempts are overdue, for those that have not counted yet; oldest first. */
  private readonly overdueAt = new Map<number, number>();

  /** Registers a granted attempt. */
  start(grantId: number, { startedAt, expected }: TimedAttempt): void {
    this.overdueAt.set(grantId, startedAt + expected * OVERDUE_MULTIPLE);
  }

  /** Counts an outcome, unless the attempt has counted as overdue; `failed` is undefined if no request was sent. */
  finish(grantId: number, failed: boolean | undefined): void {
    if (this.overdueAt.delete(grantId) && failed !== undefined) {
      this.count(failed);
    }
  }

  /** Returns the share at `now`. */
  at(now: number): number {
    for (const [grantId, overdueAt] of this.overdueAt) {
      if (overdueAt > now) {
        break;
      }
      this.overdueAt.delete(grantId);
      this.count(true);
    }
    return this.share;
  }

  private count(failed: boolean): void {
    this.share += (Number(failed) - this.share) * OUTCOME_WEIGHT;
  }
}
