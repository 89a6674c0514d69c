/**
 * The probability that an endpoint is in a gray failure: a two-state Markov model that each outcome updates by its
 * likelihood ratio. Without outcomes it returns to the share of time that endpoints spend in gray failures.
 */

/** Mean time between two gray failures of one endpoint. */
const HEALTHY_SECONDS = 7;
/** Mean length of a gray failure. */
const FAILING_SECONDS = 3;
/** Share of the requests that fail during a gray failure. */
const FAILING_SHARE = 0.75;
/** Share of the requests that fail at a healthy endpoint. */
const HEALTHY_FAILING_SHARE = 0.02;
/** Bounds that let later evidence of the other kind count. */
const MINIMUM_PROBABILITY = 0.002;
const MAXIMUM_PROBABILITY = 0.99;

const RATE_PER_MILLISECOND = (1 / HEALTHY_SECONDS + 1 / FAILING_SECONDS) / 1000;

/** Probability for an endpoint about which nothing is known. */
export const PRIOR_PROBABILITY = FAILING_SECONDS / (HEALTHY_SECONDS + FAILING_SECONDS);

/** How much more probable an outcome is during a gray failure than at a healthy endpoint. */
export const likelihoodRatios = {
  success: (1 - FAILING_SHARE) / (1 - HEALTHY_FAILING_SHARE),
  /** A success after several times the usual time. */
  slowSuccess: 1.5,
  /** Healthy endpoints answer some requests with a failure of their own. */
  error: 12,
  shed: 2,
  reset: 25,
  /** A reset of a connection that had rested; most endpoints that do so are healthy. */
  forgotten: 2,
} as const;

/** Shape of the service times of a healthy endpoint, as multiples of their mean. */
const USUAL_MULTIPLE = 1.4;
const LONG_MULTIPLE = 2.6;
const TAIL_MULTIPLE = 7;
const END_MULTIPLE = 11;
/** Share of the requests beyond `LONG_MULTIPLE` and beyond `END_MULTIPLE`. */
const TAIL_SHARE = 0.035;
const END_SHARE = 0.002;

function interpolateLogarithm(from: number, to: number, fraction: number): number {
  return Math.exp(Math.log(from) + (Math.log(to) - Math.log(from)) * fraction);
}

/** Share of the requests of a healthy endpoint that take longer than a multiple of the mean. */
export function surviveMultiple(multiple: number): number {
  if (multiple <= USUAL_MULTIPLE) {
    return 1;
  }
  if (multiple < LONG_MULTIPLE) {
    const fraction = (multiple - USUAL_MULTIPLE) / (LONG_MULTIPLE - USUAL_MULTIPLE);
    return interpolateLogarithm(1, TAIL_SHARE, fraction);
  }
  if (multiple < TAIL_MULTIPLE) {
    return TAIL_SHARE;
  }
  const fraction = Math.min(1, (multiple - TAIL_MULTIPLE) / (END_MULTIPLE - TAIL_MULTIPLE));
  return interpolateLogarithm(TAIL_SHARE, END_SHARE, fraction);
}

/** Likelihood ratio of a request that has been without an answer for a multiple of the mean time. */
export function rateSilence(multiple: number): number {
  const healthy = surviveMultiple(multiple);
  return (FAILING_SHARE + (1 - FAILING_SHARE) * healthy) / healthy;
}

function clampProbability(probability: number): number {
  return Math.min(MAXIMUM_PROBABILITY, Math.max(MINIMUM_PROBABILITY, probability));
}

/** Updates a probability by a likelihood ratio. */
export function updateProbability(probability: number, ratio: number): number {
  const odds = (probability / (1 - probability)) * ratio;
  return clampProbability(odds / (1 + odds));
}

/** The belief about one endpoint. */
export class Belief {
  private probability = PRIOR_PROBABILITY;

  constructor(private updatedAt: number) {}

  /** Returns the probability of a gray failure at a time. */
  at(now: number): number {
    const elapsed = Math.max(0, now - this.updatedAt);
    const kept = Math.exp(-elapsed * RATE_PER_MILLISECOND);
    return clampProbability(PRIOR_PROBABILITY + (this.probability - PRIOR_PROBABILITY) * kept);
  }

  /** Counts an outcome. */
  observe(ratio: number, now: number): void {
    this.probability = updateProbability(this.at(now), ratio);
    this.updatedAt = now;
  }

  /** Adopts the probability that another dispatcher told. */
  adopt(probability: number, now: number): void {
    this.probability = clampProbability(probability);
    this.updatedAt = now;
  }
}
