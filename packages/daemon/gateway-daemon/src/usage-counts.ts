/**
 * Counts of what a daemon decided about usage limits, for the log and the metrics.
 */
import type { UsageAdmission, UsageMessage } from '@dogwoodstall/grants';

/** Organisations with refused requests that a report names. */
const REPORTED_ORGANISATIONS = 5;

/** Decisions and messages since the last report. */
export interface UsageReport {
  /** Requests admitted with a borrowed token. */
  readonly admitted: number;
  /** Requests admitted although no keeper responded. */
  readonly admittedAlone: number;
  readonly refused: number;
  readonly givenBack: number;
  /** Requests that ended while they waited for a token. */
  readonly withdrawn: number;
  /** Requests for tokens that were sent to keepers. */
  readonly borrowed: number;
  /** Responses to those of other daemons. */
  readonly lent: number;
  /** Fraction of the limits that this daemon may lend, by group. */
  readonly shares: readonly number[];
  /** Organisations with most refused requests, and the numbers of these. */
  readonly refusedMost: readonly (readonly [string, number])[];
}

type Totals = Omit<UsageReport, 'shares' | 'refusedMost'>;
type MutableTotals = { -readonly [Key in keyof Totals]: number };

function createTotals(): MutableTotals {
  return {
    admitted: 0,
    admittedAlone: 0,
    refused: 0,
    givenBack: 0,
    withdrawn: 0,
    borrowed: 0,
    lent: 0,
  };
}

/** Counts until the next report. */
export class UsageCounts {
  private totals = createTotals();

  private refused = new Map<string, number>();

  record(organisation: string, admission: UsageAdmission): void {
    if (admission.kind === 'refused') {
      this.totals.refused += 1;
      this.refused.set(organisation, (this.refused.get(organisation) ?? 0) + 1);
    } else if (admission.source === 'own') {
      this.totals.admittedAlone += 1;
    } else {
      this.totals.admitted += 1;
    }
  }

  countGivenBack(): void {
    this.totals.givenBack += 1;
  }

  countWithdrawn(): void {
    this.totals.withdrawn += 1;
  }

  countMessage({ kind }: UsageMessage): void {
    this.totals.borrowed += kind === 'borrow' ? 1 : 0;
    this.totals.lent += kind === 'lend' ? 1 : 0;
  }

  /** Returns the counts and begins anew. */
  take(shares: readonly number[]): UsageReport {
    const refusedMost = [...this.refused]
      .sort(([, left], [, right]) => right - left)
      .slice(0, REPORTED_ORGANISATIONS);
    const report = { ...this.totals, shares, refusedMost };
    this.totals = createTotals();
    this.refused = new Map();
    return report;
  }
}
