/**
 * Classifies the outcomes of attempts: which count against an endpoint, and which are no
 * evidence about it.
 */
import type { SizeClass } from '@dogwoodstall/model';
import type { EndpointRecord, HealthAttempt } from './endpoint-record.js';
import { LatencyHistogram } from './latency-histogram.js';
import type { AttemptOutcome } from './outcome.js';
import {
  isAdverse,
  type OutcomeFlags,
  noFlags,
  type RelativeTime,
  type Sample,
} from './samples.js';
import { StratumAssigner } from './stratum-assigner.js';

/** Multiples of the route's median above which a response is slow, and very slow. */
const SLOW_FACTOR = 4;
const VERY_SLOW_FACTOR = 8;

/** Samples of a route before times are compared with its histogram. */
const MINIMUM_HISTOGRAM_SAMPLES = 100;

/** Shorter times are never slow, because the timers on both sides aren't precise enough. */
const MINIMUM_SLOW_MILLISECONDS = 5;

/** Limit of the surprise of one sample, so that a single outlier isn't sufficient evidence. */
const MAXIMUM_SURPRISE = 14;

/** Limit of the number of histograms; beyond it, the one added first is dropped. */
const MAXIMUM_HISTOGRAMS = 500;

/** Classifies outcomes by the service times of the cell's routes. */
export class OutcomeClassifier {
  private readonly stratumAssigner = new StratumAssigner();

  private readonly histograms = new Map<string, LatencyHistogram>();

  /** Creates the record of an attempt that starts. */
  createAttempt(
    endpointName: string,
    start: { routeName: string; organisation: string; sizeClass: SizeClass },
    startedAt: number,
  ): HealthAttempt {
    const { routeName, organisation, sizeClass } = start;
    const stratum = this.stratumAssigner.getStratum(routeName, sizeClass, organisation);
    return { endpointName, routeName, sizeClass, stratum, startedAt };
  }

  /** Returns the histogram of an attempt's route, or undefined while it has too few samples. */
  findHistogram(attempt: HealthAttempt): LatencyHistogram | undefined {
    const histogram = this.histograms.get(
      StratumAssigner.createRouteKey(attempt.routeName, attempt.sizeClass),
    );
    return histogram === undefined || histogram.samples < MINIMUM_HISTOGRAM_SAMPLES
      ? undefined
      : histogram;
  }

  /** Returns the flags for the time that an attempt took, or has taken so far. */
  classifyTime(record: EndpointRecord, attempt: HealthAttempt, milliseconds: number): OutcomeFlags {
    const histogram = this.findHistogram(attempt);
    if (histogram === undefined || milliseconds < MINIMUM_SLOW_MILLISECONDS) {
      return noFlags;
    }
    const baseline = record.getBaselineMilliseconds(
      StratumAssigner.createRouteKey(attempt.routeName, attempt.sizeClass),
    );
    const slow = milliseconds > histogram.median * SLOW_FACTOR;
    const slowerThanPast = baseline !== undefined && milliseconds > baseline * SLOW_FACTOR;
    if (!slow && !slowerThanPast) {
      return noFlags;
    }
    const verySlow = milliseconds > histogram.median * VERY_SLOW_FACTOR;
    return { failed: false, slow, verySlow, slowerThanPast };
  }

  /** Compares a time with those of the route; undefined while there are too few samples. */
  computeRelativeTime(attempt: HealthAttempt, milliseconds: number): RelativeTime | undefined {
    const histogram = this.findHistogram(attempt);
    if (histogram === undefined) {
      return undefined;
    }
    const time = Math.max(milliseconds, MINIMUM_SLOW_MILLISECONDS);
    const surprise = Math.min(MAXIMUM_SURPRISE, -Math.log(histogram.computeExceedance(time)));
    const logarithm = Math.log(time / Math.max(histogram.median, MINIMUM_SLOW_MILLISECONDS));
    return { surprise, logarithm };
  }

  /** Returns the sample of an outcome, or undefined if it is no evidence about the endpoint. */
  classifyOutcome(
    record: EndpointRecord,
    attempt: HealthAttempt,
    outcome: AttemptOutcome,
    now: number,
  ): Sample | undefined {
    const cold = record.lifecycle.condition === 'cold-start';
    const timeFlags = cold ? noFlags : this.classifyTime(record, attempt, outcome.milliseconds);
    const late = isAdverse(timeFlags);
    const { routeName, stratum } = attempt;
    const time = cold ? undefined : this.computeRelativeTime(attempt, outcome.milliseconds);
    const sample = (flags: OutcomeFlags): Sample => ({ at: now, routeName, stratum, flags, time });
    switch (outcome.kind) {
      case 'success':
        if (!cold) {
          this.recordServiceTime(record, attempt, outcome.milliseconds, now);
        }
        return sample(timeFlags);
      // A request that was abandoned early is no evidence; one that was already late counts as slow.
      // A timeout is early if the request spent its deadline in the fleet's queue.
      case 'cancelled':
        return late ? sample(timeFlags) : undefined;
      case 'timeout':
        return late ? sample({ ...timeFlags, failed: true }) : undefined;
      default:
        return { at: now, routeName, stratum, flags: { ...noFlags, failed: true } };
    }
  }

  private recordServiceTime(
    record: EndpointRecord,
    attempt: HealthAttempt,
    milliseconds: number,
    now: number,
  ): void {
    const key = StratumAssigner.createRouteKey(attempt.routeName, attempt.sizeClass);
    let histogram = this.histograms.get(key);
    if (histogram === undefined) {
      histogram = new LatencyHistogram(undefined, now);
      this.histograms.set(key, histogram);
      if (this.histograms.size > MAXIMUM_HISTOGRAMS) {
        this.histograms.delete(this.histograms.keys().next().value ?? '');
      }
    }
    histogram.add(milliseconds);
    record.updateBaseline(key, milliseconds);
  }
}
