/**
 * Turns the outcomes of attempts into samples: decides what speaks against an endpoint and what is no
 * statement about it.
 */
import type { SizeClass } from '@dogwoodstall/model';
import type { EndpointRecord, HealthAttempt } from './endpoint-record.js';
import { LatencyHistogram } from './latency-histogram.js';
import type { AttemptOutcome } from './outcome.js';
import { isMarked, type Marks, noMarks, type RelativeTime, type Sample } from './samples.js';
import { Strata } from './stratum-assigner.js';

/** Medians of the route beyond which an answer is slow, and very slow. */
const SLOW_FACTOR = 4;
const VERY_SLOW_FACTOR = 8;

/** Samples of a route before its service times are compared. */
const MINIMUM_SCALE_SAMPLES = 100;

/** Differences below this time are never slow: the timers of both sides are not more exact. */
const MINIMUM_SLOW_MILLISECONDS = 5;

/** A single surprise counts no more than this, so that one odd request proves nothing. */
const MAXIMUM_SURPRISE = 14;

/** Routes with a scale; the one that was added first is dropped beyond that. */
const MAXIMUM_SCALES = 500;

/** The service times of the cell's routes and the judgement of outcomes. */
export class EvidenceBook {
  private readonly strata = new Strata();

  private readonly scales = new Map<string, LatencyHistogram>();

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
  findScale(attempt: HealthAttempt): LatencyHistogram | undefined {
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

  /** Relates a time to those of the route; undefined while too few are known. */
  relateTime(attempt: HealthAttempt, milliseconds: number): RelativeTime | undefined {
    const scale = this.findScale(attempt);
    if (scale === undefined) {
      return undefined;
    }
    const time = Math.max(milliseconds, MINIMUM_SLOW_MILLISECONDS);
    const surprise = Math.min(MAXIMUM_SURPRISE, -Math.log(scale.computeExceedance(time)));
    const logarithm = Math.log(time / Math.max(scale.median, MINIMUM_SLOW_MILLISECONDS));
    return { surprise, logarithm };
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
    const time = cold ? undefined : this.relateTime(attempt, outcome.milliseconds);
    const sample = (marks: Marks): Sample => ({ at: now, routeName, stratum, marks, time });
    switch (outcome.kind) {
      case 'success':
        if (!cold) {
          this.learn(record, attempt, outcome.milliseconds, now);
        }
        return sample(timeMarks);
      // Work that was given up early says nothing; work that was late already is slow. A timeout is
      // early when the request spent its deadline in the queue of the fleet.
      case 'cancelled':
        return late ? sample(timeMarks) : undefined;
      case 'timeout':
        return late ? sample({ ...timeMarks, failed: true }) : undefined;
      default:
        return { at: now, routeName, stratum, marks: { ...noMarks, failed: true } };
    }
  }

  private learn(
    record: EndpointRecord,
    attempt: HealthAttempt,
    milliseconds: number,
    now: number,
  ): void {
    const key = Strata.routeKey(attempt.routeName, attempt.sizeClass);
    let scale = this.scales.get(key);
    if (scale === undefined) {
      scale = new LatencyHistogram(undefined, now);
      this.scales.set(key, scale);
      if (this.scales.size > MAXIMUM_SCALES) {
        this.scales.delete(this.scales.keys().next().value ?? '');
      }
    }
    scale.add(milliseconds);
    record.addPast(key, milliseconds);
  }
}
