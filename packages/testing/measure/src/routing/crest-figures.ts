/**
 * The figures of a demand swing from the outcomes of its requests.
 */
import type * as load from '@dogwoodstall/load';
import { computePercent, computePercentile } from './statistics.js';

/** Times of a swing, in milliseconds after the start of the load. */
export interface CrestTimes {
  /** Requests before are not looked at. */
  readonly steadyFrom: number;
  readonly riseAt: number;
  readonly peakAt: number;
  /** End of the crest. */
  readonly endAt: number;
}

/** One request and who sent it. */
export type CrestOutcome = load.RequestOutcome & {
  readonly sender: 'modest' | 'flood' | 'floodBatch';
};

/** A refusal that comes later than this has kept its caller waiting. */
const AT_ONCE_MILLISECONDS = 100;

/** Service is normal while latencies stay below this multiple of the p99 before the swing. */
const NORMAL_FACTOR = 1.5;

function isWithin(time: number, from: number, to: number): boolean {
  return time >= from && time < to;
}

function successPercent(outcomes: readonly CrestOutcome[], sender: CrestOutcome['sender']): number {
  const own = outcomes.filter((outcome) => outcome.sender === sender);
  return computePercent(own.filter(({ kind }) => kind === 'ok').length, own.length);
}

/** Returns the time after the crest at which the last request met a service that was not normal. */
function findRecovery(outcomes: readonly CrestOutcome[], endAt: number, normal: number): number {
  let last = endAt;
  for (const { intendedAt, kind, latencyMilliseconds } of outcomes) {
    if (kind !== 'ok' || latencyMilliseconds > normal) {
      last = Math.max(last, intendedAt);
    }
  }
  return Math.round(last - endAt);
}

/** Returns the figures by name without the subject. */
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
  const calm = inTime
    .filter(({ intendedAt }) => isWithin(intendedAt, steadyFrom, riseAt))
    .map(({ latencyMilliseconds }) => latencyMilliseconds);
  const refused = crest.filter(({ told }) => told === 'not-run');
  const atOnce = refused.filter(
    ({ latencyMilliseconds }) => latencyMilliseconds <= AT_ONCE_MILLISECONDS,
  );
  const missed = crest.filter(({ kind, told }) => kind !== 'ok' && told !== 'not-run');
  const normal = computePercentile(calm, 0.99) * NORMAL_FACTOR;
  return {
    CrestGoodputPercent: computePercent(
      completed.length * 1000,
      capacityPerSecond * (endAt - peakAt),
    ),
    CrestLatencyP99Milliseconds: computePercentile(crestLatencies, 0.99),
    CrestRefusedAtOncePercent: computePercent(atOnce.length, crest.length),
    CrestRefusedLaterPercent: computePercent(refused.length - atOnce.length, crest.length),
    CrestMissedDeadlinePercent: computePercent(missed.length, crest.length),
    CrestModestSuccessPercent: successPercent(crest, 'modest'),
    CrestFloodSuccessPercent: successPercent(crest, 'flood'),
    CrestLowPrioritySuccessPercent: successPercent(crest, 'floodBatch'),
    CalmLatencyP99Milliseconds: computePercentile(calm, 0.99),
    NormalServiceAfterMilliseconds: findRecovery(outcomes, endAt, normal),
  };
}
