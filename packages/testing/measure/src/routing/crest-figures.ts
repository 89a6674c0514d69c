/**
 * Computes the figures of a load surge from the outcomes of its requests. The crest is the time at peak
 * load.
 */
import type * as load from '@dogwoodstall/load';
import { computePercent, computePercentile } from './statistics.js';

/** Times of a surge, in milliseconds after the start of the load. */
export interface CrestTimes {
  /** Start of the steady load before the surge; earlier requests are ignored. */
  readonly steadyFrom: number;
  readonly riseAt: number;
  readonly peakAt: number;
  /** End of the crest. */
  readonly endAt: number;
}

/** The outcome of one request and its kind of sender. */
export type CrestOutcome = load.RequestOutcome & {
  readonly sender: 'modest' | 'flood' | 'floodBatch';
};

/** A refusal counts as immediate up to this latency. */
const IMMEDIATE_REFUSAL_MILLISECONDS = 100;

/** Service is normal while latencies are at most this multiple of the p99 before the surge. */
const NORMAL_LATENCY_FACTOR = 1.5;

function isWithin(time: number, from: number, to: number): boolean {
  return time >= from && time < to;
}

function computeSuccessPercent(
  outcomes: readonly CrestOutcome[],
  sender: CrestOutcome['sender'],
): number {
  const sent = outcomes.filter((outcome) => outcome.sender === sender);
  return computePercent(sent.filter(({ kind }) => kind === 'ok').length, sent.length);
}

/** Returns the time from the end of the crest to the last request that failed or was too slow. */
function measureRecovery(
  outcomes: readonly CrestOutcome[],
  endAt: number,
  normalLatency: number,
): number {
  let lastAbnormalAt = endAt;
  for (const { intendedAt, kind, latencyMilliseconds } of outcomes) {
    if (kind !== 'ok' || latencyMilliseconds > normalLatency) {
      lastAbnormalAt = Math.max(lastAbnormalAt, intendedAt);
    }
  }
  return Math.round(lastAbnormalAt - endAt);
}

/** Returns the figures, with names that lack the prefix of the subject. */
export function describeCrest(
  outcomes: readonly CrestOutcome[],
  { steadyFrom, riseAt, peakAt, endAt }: CrestTimes,
  capacityPerSecond: number,
): Record<string, number> {
  const inTime = outcomes.filter(({ kind }) => kind === 'ok');
  const completed = inTime.filter(({ intendedAt, latencyMilliseconds }) =>
    isWithin(intendedAt + latencyMilliseconds, peakAt, endAt),
  );
  const crest = outcomes.filter(({ intendedAt }) => isWithin(intendedAt, peakAt, endAt));
  const crestLatencies = crest
    .filter(({ kind }) => kind === 'ok')
    .map(({ latencyMilliseconds }) => latencyMilliseconds);
  const steadyLatencies = inTime
    .filter(({ intendedAt }) => isWithin(intendedAt, steadyFrom, riseAt))
    .map(({ latencyMilliseconds }) => latencyMilliseconds);
  const refused = crest.filter(({ reportedExecution }) => reportedExecution === 'not-run');
  const refusedImmediately = refused.filter(
    ({ latencyMilliseconds }) => latencyMilliseconds <= IMMEDIATE_REFUSAL_MILLISECONDS,
  );
  const missedDeadline = crest.filter(
    ({ kind, reportedExecution }) => kind !== 'ok' && reportedExecution !== 'not-run',
  );
  const normalLatency = computePercentile(steadyLatencies, 0.99) * NORMAL_LATENCY_FACTOR;
  return {
    CrestGoodputPercent: computePercent(
      completed.length * 1000,
      capacityPerSecond * (endAt - peakAt),
    ),
    CrestLatencyP99Milliseconds: computePercentile(crestLatencies, 0.99),
    CrestRefusedAtOncePercent: computePercent(refusedImmediately.length, crest.length),
    CrestRefusedLaterPercent: computePercent(
      refused.length - refusedImmediately.length,
      crest.length,
    ),
    CrestMissedDeadlinePercent: computePercent(missedDeadline.length, crest.length),
    CrestModestSuccessPercent: computeSuccessPercent(crest, 'modest'),
    CrestFloodSuccessPercent: computeSuccessPercent(crest, 'flood'),
    CrestLowPrioritySuccessPercent: computeSuccessPercent(crest, 'floodBatch'),
    CalmLatencyP99Milliseconds: computePercentile(steadyLatencies, 0.99),
    NormalServiceAfterMilliseconds: measureRecovery(outcomes, endAt, normalLatency),
  };
}
