/**
 * Ejection, trial and slow start of one endpoint.
 */
import type { EjectionEvidence, HealthChange } from './change.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { AttemptOutcome } from './outcome.js';
import { marks, type Sample } from './samples.js';

/** Length of the first ejection; each further one is twice as long. */
const FIRST_EJECTION_MILLISECONDS = 3000;
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;

/** Part of the ejection time that is added at random, so that endpoints do not return together. */
const EJECTION_JITTER = 0.2;

/** Time in good health after which one earlier ejection is forgotten. */
const FORGIVENESS_MILLISECONDS = 120_000;

/** Pause before a lost server is tried again. */
const LOST_PAUSE_MILLISECONDS = 500;

const TRIAL_SUCCESSES = 5;
const TRIAL_FAILURES = 2;
const TRIAL_WEIGHT = 0.05;

const SLOW_START_MILLISECONDS = 5000;
const SLOW_START_WEIGHT = 0.2;

/** The evidence that stands on a lost server; it outranks all other evidence. */
export const lostEvidence: EjectionEvidence = {
  reason: 'lost',
  routeName: '*',
  samples: 0,
  observed: 0,
  expected: 0,
  strength: Number.MAX_VALUE,
};

function ejectionTime(record: EndpointRecord, random: number): number {
  const doubled = FIRST_EJECTION_MILLISECONDS * 2 ** Math.max(0, record.ejections - 1);
  return Math.min(MAXIMUM_EJECTION_MILLISECONDS, doubled) * (1 + EJECTION_JITTER * random);
}

/** Condemns an endpoint; whether it is ejected depends on the floor. */
export function condemn(
  record: EndpointRecord,
  evidence: EjectionEvidence,
  now: number,
  random: number,
): void {
  const lost = evidence.reason === 'lost';
  record.ejections += lost ? 0 : 1;
  const milliseconds = lost ? LOST_PAUSE_MILLISECONDS : ejectionTime(record, random);
  record.condemnation = { evidence, until: now + milliseconds, ejected: false };
  record.clearEvidence();
}

/** Moves an endpoint to the condition that its condemnation asks for; returns the change. */
export function applyCondemnation(record: EndpointRecord, now: number): HealthChange | undefined {
  const { condemnation } = record;
  if (condemnation === undefined) {
    return undefined;
  }
  const kind = condemnation.ejected ? 'ejected' : 'kept-by-floor';
  if (record.condition === kind) {
    return undefined;
  }
  record.condition = kind;
  return {
    kind,
    endpointName: record.server.name,
    at: now,
    until: condemnation.until,
    ejections: record.ejections,
    evidence: condemnation.evidence,
  };
}

function describe(record: EndpointRecord, kind: 'trial' | 'returned', now: number): HealthChange {
  return {
    kind,
    endpointName: record.server.name,
    at: now,
    until: now,
    ejections: record.ejections,
  };
}

function forgive(record: EndpointRecord, now: number): void {
  if (record.ejections > 0 && now - record.lastEjectionEndedAt > FORGIVENESS_MILLISECONDS) {
    record.ejections -= 1;
    record.lastEjectionEndedAt = now;
  }
}

/** Moves an endpoint on with time; returns the change, if there is one. */
export function advance(
  record: EndpointRecord,
  now: number,
  coldStartMilliseconds: number,
): HealthChange | undefined {
  if (record.condemnation !== undefined && now >= record.condemnation.until) {
    record.condemnation = undefined;
    record.condition = 'trial';
    record.lastEjectionEndedAt = now;
    record.clearEvidence();
    return describe(record, 'trial', now);
  }
  if (record.condition === 'slow-start' && now - record.slowStartAt >= SLOW_START_MILLISECONDS) {
    record.condition = 'healthy';
    return describe(record, 'returned', now);
  }
  if (record.condition === 'cold-start' && now - record.addedAt >= coldStartMilliseconds) {
    record.condition = 'healthy';
  }
  if (record.condition === 'healthy') {
    forgive(record, now);
  }
  return undefined;
}

/** Counts an outcome during a trial; returns the evidence when the trial failed. */
export function countTrial(
  record: EndpointRecord,
  sample: Sample,
  outcome: AttemptOutcome,
  now: number,
): EjectionEvidence | undefined {
  if (record.condition !== 'trial') {
    return undefined;
  }
  if (outcome.kind === 'refused') {
    return lostEvidence;
  }
  if ((sample.marks & (marks.failed | marks.verySlow)) === 0) {
    record.trialSuccesses += 1;
    if (record.trialSuccesses >= TRIAL_SUCCESSES) {
      record.condition = 'slow-start';
      record.slowStartAt = now;
    }
    return undefined;
  }
  record.trialFailures += 1;
  if (record.trialFailures < TRIAL_FAILURES) {
    return undefined;
  }
  const samples = record.trialSuccesses + record.trialFailures;
  const observed = record.trialFailures;
  const { routeName } = sample;
  return { reason: 'trial-failed', routeName, samples, observed, expected: 0, strength: observed };
}

/** Returns the share of its slots that an endpoint may use. */
export function weightOf(
  record: EndpointRecord,
  now: number,
  coldStartMilliseconds: number,
): number {
  const grow = (elapsed: number, duration: number): number =>
    Math.min(1, SLOW_START_WEIGHT + ((1 - SLOW_START_WEIGHT) * Math.max(0, elapsed)) / duration);
  switch (record.condition) {
    case 'ejected':
      return 0;
    case 'trial':
      return TRIAL_WEIGHT;
    case 'slow-start':
      return grow(now - record.slowStartAt, SLOW_START_MILLISECONDS);
    case 'cold-start':
      return grow(now - record.addedAt, coldStartMilliseconds);
    default:
      return 1;
  }
}
