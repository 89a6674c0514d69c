/**
 * Summaries of a load: in total, by class and by time interval.
 */
import type { RequestOutcome } from './outcome.js';
import { Summary } from './summary.js';

/** Summary of the requests whose intended start is in one interval. */
export interface IntervalSummary {
  readonly startMilliseconds: number;
  readonly summary: Summary;
}

/** Aggregates the outcomes of a load. */
export class LoadSummary {
  readonly total = new Summary();

  private readonly byClass = new Map<string, Summary>();

  private readonly byInterval: Summary[] = [];

  readonly intervalMilliseconds: number;

  constructor(intervalMilliseconds: number) {
    this.intervalMilliseconds = intervalMilliseconds;
  }

  record(outcome: RequestOutcome): void {
    this.total.record(outcome);
    let classSummary = this.byClass.get(outcome.className);
    if (classSummary === undefined) {
      classSummary = new Summary();
      this.byClass.set(outcome.className, classSummary);
    }
    classSummary.record(outcome);
    const index = Math.floor(outcome.intendedAt / this.intervalMilliseconds);
    while (this.byInterval.length <= index) {
      this.byInterval.push(new Summary());
    }
    this.byInterval[index]?.record(outcome);
  }

  get classes(): ReadonlyMap<string, Summary> {
    return this.byClass;
  }

  get intervals(): IntervalSummary[] {
    return this.byInterval.map((summary, index) => ({
      startMilliseconds: index * this.intervalMilliseconds,
      summary,
    }));
  }
}
