/**
 * Lifecycle of one endpoint: cold start, ejection, probe requests (condition `trial`) and slow
 * start.
 */
import type { EjectionEvidence, EndpointCondition, HealthChange } from './change.js';
import type { AttemptOutcome } from './outcome.js';
import type { Sample } from './samples.js';

/** An ejection that was decided, from its start to its end. */
export interface Ejection {
  readonly evidence: EjectionEvidence;
  readonly until: number;
  /** False while the floor keeps the endpoint in use. */
  enforced: boolean;
}

/** Length of the first ejection; each further one takes twice as long, up to the maximum. */
const FIRST_EJECTION_MILLISECONDS = 3000;
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;

/** Largest share of the length that is added at random, so that endpoints don't return together. */
const EJECTION_JITTER = 0.2;

/** Time since the last ejection after which a healthy endpoint's `ejections` decreases by one. */
const EJECTION_DECAY_MILLISECONDS = 120_000;

/** Backoff before a lost server receives probe requests. */
const LOST_BACKOFF_MILLISECONDS = 500;

const TRIAL_SUCCESSES = 5;
const TRIAL_FAILURES = 2;
const TRIAL_WEIGHT = 0.05;

const SLOW_START_MILLISECONDS = 5000;
const SLOW_START_WEIGHT = 0.2;

/** Evidence for a lost server; its strength ranks it above all other evidence. */
export const lostEvidence: EjectionEvidence = {
  reason: 'lost',
  routeName: '*',
  samples: 0,
  observed: 0,
  expected: 0,
  strength: Number.MAX_VALUE,
};

function computeRampWeight(elapsed: number, duration: number): number {
  const grown = ((1 - SLOW_START_WEIGHT) * Math.max(0, elapsed)) / duration;
  return Math.min(1, SLOW_START_WEIGHT + grown);
}

/** State machine of the condition of one endpoint. */
export class EndpointLifecycle {
  ejection: Ejection | undefined;

  condition: EndpointCondition;

  /** Recent ejections, which determine the length of the next one. */
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

  /** Starts an ejection; the floor decides whether it is enforced. */
  startEjection(evidence: EjectionEvidence, now: number, random: number): void {
    const lost = evidence.reason === 'lost';
    this.ejections += lost ? 0 : 1;
    const milliseconds = lost
      ? LOST_BACKOFF_MILLISECONDS
      : this.computeEjectionMilliseconds(random);
    this.ejection = { evidence, until: now + milliseconds, enforced: false };
  }

  /** Sets the condition that the current ejection requires; returns the change, if any. */
  applyEjection(now: number): HealthChange | undefined {
    const { ejection } = this;
    if (ejection === undefined) {
      return undefined;
    }
    const kind = ejection.enforced ? 'ejected' : 'kept-by-floor';
    if (this.condition === kind) {
      return undefined;
    }
    this.condition = kind;
    const { until, evidence } = ejection;
    return { ...this.createChange(kind, now), until, evidence };
  }

  /** Applies the transitions that are due at `now`; returns the change, if any. */
  advance(now: number, coldStartMilliseconds: number): HealthChange | undefined {
    if (this.ejection !== undefined && now >= this.ejection.until) {
      this.beginTrial(now);
      return this.createChange('trial', now);
    }
    if (this.condition === 'slow-start' && now - this.slowStartAt >= SLOW_START_MILLISECONDS) {
      this.condition = 'healthy';
      return this.createChange('returned', now);
    }
    if (this.condition === 'cold-start' && now - this.addedAt >= coldStartMilliseconds) {
      this.condition = 'healthy';
    }
    if (this.condition === 'healthy') {
      this.decayEjections(now);
    }
    return undefined;
  }

  /** Counts the outcome of a probe request; returns evidence if the endpoint fails the probing. */
  countTrialOutcome(
    sample: Sample,
    outcome: AttemptOutcome,
    now: number,
  ): EjectionEvidence | undefined {
    if (this.condition !== 'trial') {
      return undefined;
    }
    if (outcome.kind === 'refused') {
      return lostEvidence;
    }
    if (!sample.flags.failed && !sample.flags.verySlow) {
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

  /** Returns the share of its slots that the endpoint may use, from 0 to 1. */
  computeWeight(now: number, coldStartMilliseconds: number): number {
    switch (this.condition) {
      case 'ejected':
        return 0;
      case 'trial':
        return TRIAL_WEIGHT;
      case 'slow-start':
        return computeRampWeight(now - this.slowStartAt, SLOW_START_MILLISECONDS);
      case 'cold-start':
        return computeRampWeight(now - this.addedAt, coldStartMilliseconds);
      default:
        return 1;
    }
  }

  private computeEjectionMilliseconds(random: number): number {
    const doubled = FIRST_EJECTION_MILLISECONDS * 2 ** Math.max(0, this.ejections - 1);
    return Math.min(MAXIMUM_EJECTION_MILLISECONDS, doubled) * (1 + EJECTION_JITTER * random);
  }

  private beginTrial(now: number): void {
    this.ejection = undefined;
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

  private decayEjections(now: number): void {
    if (this.ejections > 0 && now - this.lastEjectionEndedAt > EJECTION_DECAY_MILLISECONDS) {
      this.ejections -= 1;
      this.lastEjectionEndedAt = now;
    }
  }

  private createChange(kind: HealthChange['kind'], now: number): HealthChange {
    const { endpointName, ejections } = this;
    return { kind, endpointName, at: now, until: now, ejections };
  }
}
