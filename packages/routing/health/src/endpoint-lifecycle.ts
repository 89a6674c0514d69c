/**
 * Ejection, trial and slow start of one endpoint.
 */
import type { EjectionEvidence, EndpointCondition, HealthChange } from './change.js';
import type { AttemptOutcome } from './outcome.js';
import type { Sample } from './samples.js';

/** A finding against an endpoint, until it ends. */
export interface Condemnation {
  readonly evidence: EjectionEvidence;
  readonly until: number;
  /** False while the floor keeps the endpoint in use. */
  ejected: boolean;
}

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

function growWeight(elapsed: number, duration: number): number {
  const grown = ((1 - SLOW_START_WEIGHT) * Math.max(0, elapsed)) / duration;
  return Math.min(1, SLOW_START_WEIGHT + grown);
}

/** The condition of an endpoint and how it changes with time and outcomes. */
export class EndpointLife {
  condemnation: Condemnation | undefined;

  condition: EndpointCondition;

  /** Ejections that count for the length of the next one. */
  ejections = 0;

  private lastEjectionEndedAt = -Infinity;

  private trialSuccesses = 0;

  private trialFailures = 0;

  private slowStartAt = -Infinity;

  constructor(
    private readonly endpointName: string,
    private readonly addedAt: number,
    cold: boolean,
  ) {
    this.condition = cold ? 'cold-start' : 'healthy';
  }

  /** Condemns the endpoint; whether it is ejected depends on the floor. */
  condemn(evidence: EjectionEvidence, now: number, random: number): void {
    const lost = evidence.reason === 'lost';
    this.ejections += lost ? 0 : 1;
    const milliseconds = lost ? LOST_PAUSE_MILLISECONDS : this.ejectionTime(random);
    this.condemnation = { evidence, until: now + milliseconds, ejected: false };
  }

  /** Takes on the condition that the condemnation asks for; returns the change. */
  applyCondemnation(now: number): HealthChange | undefined {
    const { condemnation } = this;
    if (condemnation === undefined) {
      return undefined;
    }
    const kind = condemnation.ejected ? 'ejected' : 'kept-by-floor';
    if (this.condition === kind) {
      return undefined;
    }
    this.condition = kind;
    const { until, evidence } = condemnation;
    return { ...this.describe(kind, now), until, evidence };
  }

  /** Moves on with time; returns the change, if there is one. */
  advance(now: number, coldStartMilliseconds: number): HealthChange | undefined {
    if (this.condemnation !== undefined && now >= this.condemnation.until) {
      this.beginTrial(now);
      return this.describe('trial', now);
    }
    if (this.condition === 'slow-start' && now - this.slowStartAt >= SLOW_START_MILLISECONDS) {
      this.condition = 'healthy';
      return this.describe('returned', now);
    }
    if (this.condition === 'cold-start' && now - this.addedAt >= coldStartMilliseconds) {
      this.condition = 'healthy';
    }
    if (this.condition === 'healthy') {
      this.forgive(now);
    }
    return undefined;
  }

  /** Counts an outcome during a trial; returns the evidence when the trial failed. */
  countTrial(sample: Sample, outcome: AttemptOutcome, now: number): EjectionEvidence | undefined {
    if (this.condition !== 'trial') {
      return undefined;
    }
    if (outcome.kind === 'refused') {
      return lostEvidence;
    }
    if (!sample.marks.failed && !sample.marks.verySlow) {
      this.countTrialSuccess(now);
      return undefined;
    }
    this.trialFailures += 1;
    if (this.trialFailures < TRIAL_FAILURES) {
      return undefined;
    }
    const samples = this.trialSuccesses + this.trialFailures;
    const observed = this.trialFailures;
    const { routeName } = sample;
    return {
      reason: 'trial-failed',
      routeName,
      samples,
      observed,
      expected: 0,
      strength: observed,
    };
  }

  /** Returns the share of its slots that the endpoint may use. */
  weight(now: number, coldStartMilliseconds: number): number {
    switch (this.condition) {
      case 'ejected':
        return 0;
      case 'trial':
        return TRIAL_WEIGHT;
      case 'slow-start':
        return growWeight(now - this.slowStartAt, SLOW_START_MILLISECONDS);
      case 'cold-start':
        return growWeight(now - this.addedAt, coldStartMilliseconds);
      default:
        return 1;
    }
  }

  private ejectionTime(random: number): number {
    const doubled = FIRST_EJECTION_MILLISECONDS * 2 ** Math.max(0, this.ejections - 1);
    return Math.min(MAXIMUM_EJECTION_MILLISECONDS, doubled) * (1 + EJECTION_JITTER * random);
  }

  private beginTrial(now: number): void {
    this.condemnation = undefined;
    this.condition = 'trial';
    this.lastEjectionEndedAt = now;
    this.trialSuccesses = 0;
    this.trialFailures = 0;
  }

  private countTrialSuccess(now: number): void {
    this.trialSuccesses += 1;
    if (this.trialSuccesses >= TRIAL_SUCCESSES) {
      this.condition = 'slow-start';
      this.slowStartAt = now;
    }
  }

  private forgive(now: number): void {
    if (this.ejections > 0 && now - this.lastEjectionEndedAt > FORGIVENESS_MILLISECONDS) {
      this.ejections -= 1;
      this.lastEjectionEndedAt = now;
    }
  }

  private describe(kind: HealthChange['kind'], now: number): HealthChange {
    const { endpointName, ejections } = this;
    return { kind, endpointName, at: now, until: now, ejections };
  }
}
