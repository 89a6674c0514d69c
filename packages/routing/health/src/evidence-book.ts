/**
 * Turns the outcomes of attempts into samples: decides what speaks against an endpoint and what is no
 * statement about it.
 */
import type { SizeClass } from '@dogwoodstall/model';
import type { EndpointRecord, HealthAttempt } from './endpoint-record.js';
import { LatencyScale } from './latency-scale.js';
import type { AttemptOutcome } from './outcome.js';
import { isMarked, type Marks, noMarks, type Sample } from './samples.js';
import { Strata } from './strata.js';

/** Medians of the route beyond which an answer is slow, and very slow. */
const SLOW_FACTOR = 4;
const VERY_SLOW_FACTOR = 8;

/** Samples of a route before its service times are compared. */
const MINIMUM_SCALE_SAMPLES = 100;

/** Differences below this time are never slow: the timers of both sides are not more exact. */
const MINIMUM_SLOW_MILLISECONDS = 5;

/** Routes with a scale; the one that was added first is dropped beyond that. */
const MAXIMUM_SCALES = 500;

/** The service times of the cell's routes and the judgement of outcomes. */
export class EvidenceBook {
  private readonly strata = new Strata();

  private readonly scales = new Map<string, LatencyScale>();

  /** Describes an attempt that begins. */
  open(
    endpointName: string,
    start: { routeName: string; organisation: string; sizeClass: SizeClass },
    startedAt: number,
  ): HealthAttempt {
    const { routeName, organisation, sizeClass } = start;
    const stratum = this.strata.stratumOf(routeName, sizeClass, organisation);
    return { endpointName, routeName, sizeClass, stratum, startedAt };
  }

  /** Returns the service times behind an attempt, or undefined while too few are known. */
  findScale(attempt: HealthAttempt): LatencyScale | undefined {
    const scale = this.scales.get(Strata.routeKey(attempt.routeName, attempt.sizeClass));
    return scale === undefined || scale.samples < MINIMUM_SCALE_SAMPLES ? undefined : scale;
  }

  /** Returns the marks of a time that an attempt took or has taken so far. */
  markTime(record: EndpointRecord, attempt: HealthAttempt, milliseconds: number): Marks {
    const scale = this.findScale(attempt);
    if (scale === undefined || milliseconds < MINIMUM_SLOW_MILLISECONDS) {
      return noMarks;
    }
    const past = record.pastMilliseconds(Strata.routeKey(attempt.routeName, attempt.sizeClass));
    const slow = milliseconds > scale.median * SLOW_FACTOR;
    const slowerThanPast = past !== undefined && milliseconds > past * SLOW_FACTOR;
    if (!slow && !slowerThanPast) {
      return noMarks;
    }
    const verySlow = milliseconds > scale.median * VERY_SLOW_FACTOR;
    return { failed: false, slow, verySlow, slowerThanPast };
  }

  /** Returns the sample of an outcome, or undefined when it is no statement about the endpoint. */
  judge(
    record: EndpointRecord,
    attempt: HealthAttempt,
    outcome: AttemptOutcome,
    now: number,
  ): Sample | undefined {
    const cold = record.life.condition === 'cold-start';
    const timeMarks = cold ? noMarks : this.markTime(record, attempt, outcome.milliseconds);
    const late = isMarked(timeMarks);
    const { routeName, stratum } = attempt;
    const sample = (marks: Marks): Sample => ({ at: now, routeName, stratum, marks });
    switch (outcome.kind) {
      case 'success':
        if (!cold) {
          this.learn(record, attempt, outcome.milliseconds);
        }
        return sample(timeMarks);
      // Work that was given up early says nothing; work that was late already is slow. A timeout is
      // early when the request spent its deadline in the queue of the fleet.
      case 'cancelled':
        return late ? sample(timeMarks) : undefined;
      case 'timeout':
        return late ? sample({ ...timeMarks, failed: true }) : undefined;
      default:
        return sample({ ...noMarks, failed: true });
    }
  }

  private learn(record: EndpointRecord, attempt: HealthAttempt, milliseconds: number): void {
    const key = Strata.routeKey(attempt.routeName, attempt.sizeClass);
    let scale = this.scales.get(key);
    if (scale === undefined) {
      scale = new LatencyScale();
      this.scales.set(key, scale);
      if (this.scales.size > MAXIMUM_SCALES) {
        this.scales.delete(this.scales.keys().next().value ?? '');
      }
    }
    scale.add(milliseconds);
    record.addPast(key, milliseconds);
  }
}
