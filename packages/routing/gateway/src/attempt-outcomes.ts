/**
 * What the outcome of an attempt means: for the report on its slot, for the attempts that remain, and for hedging.
 */
import type { Outcome } from '@dogwoodstall/datagrams';
import type { AttemptOutcome, AttemptResult } from './attempt.js';
import type { SlotReport } from './slots.js';

const reportOutcomeByKind: Readonly<Record<Exclude<AttemptOutcome['kind'], 'answer'>, Outcome>> = {
  shed: 'shed',
  'not-arrived': 'shed',
  misdirected: 'misdirected',
  refused: 'refused',
  'no-descriptor': 'unused',
  broken: 'reset',
  abandoned: 'abandoned',
};

/** Outcomes after which the request has certainly reached no endpoint. */
const NOT_ARRIVED: ReadonlySet<AttemptOutcome['kind']> = new Set([
  'refused',
  'no-descriptor',
  'not-arrived',
]);

/** Returns the report on the slot of an attempt. */
export function createSlotReport({
  outcome: attemptOutcome,
  ...measurements
}: Omit<AttemptResult, 'connection'>): SlotReport {
  if (attemptOutcome.kind === 'answer') {
    const outcome = attemptOutcome.response.status >= 500 ? 'error' : 'success';
    return { outcome, ...measurements };
  }
  const outcome =
    attemptOutcome.kind === 'abandoned' && !attemptOutcome.sent
      ? 'unused'
      : reportOutcomeByKind[attemptOutcome.kind];
  return { outcome, ...measurements };
}

/** Whether an attempt may have reached an endpoint, which may have rejected it. */
export function hasArrived(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'abandoned') {
    return outcome.sent;
  }
  return !NOT_ARRIVED.has(outcome.kind);
}

/** Returns what became of a hedge that was sent. */
export function classifyHedge(outcome: AttemptOutcome): 'won' | 'cancelled' | 'failed' {
  if (outcome.kind === 'answer') {
    return outcome.response.status < 500 ? 'won' : 'failed';
  }
  return outcome.kind === 'abandoned' ? 'cancelled' : 'failed';
}

/** Whether the time of an attempt tells how long others of its route take. */
export function isMeasured({ outcome, elapsed }: AttemptResult, hedgeDelay: number): boolean {
  if (outcome.kind === 'abandoned') {
    return outcome.sent && elapsed >= hedgeDelay;
  }
  return outcome.kind === 'answer' && outcome.response.status < 500;
}
