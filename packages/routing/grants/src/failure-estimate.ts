/**
 * Estimates the probability that an endpoint is in a gray failure with a two-state Markov model. Each outcome updates
 * the estimate by its likelihood ratio; without outcomes it decays to the share of time that endpoints spend in gray
 * failures.
 */

/** Mean time from the end of a gray failure to the next one of the same endpoint. */
const HEALTHY_SECONDS = 7;
/** Mean duration of a gray failure. */
const FAILING_SECONDS = 3;
/** Share of the requests that fail during a gray failure. */
export const FAILING_SHARE = 0.75;
/** Share of the requests that fail on a healthy endpoint. */
const HEALTHY_FAILING_SHARE = 0.02;
/** Bounds of the estimate; closer to 0 or 1, contrary outcomes would change it too slowly. */
const MINIMUM_PROBABILITY = 0.002;
const MAXIMUM_PROBABILITY = 0.99;

const RATE_PER_MILLISECOND = (1 / HEALTHY_SECONDS + 1 / FAILING_SECONDS) / 1000;

/** Probability of a gray failure of an endpoint without outcomes. */
export const PRIOR_PROBABILITY = FAILING_SECONDS / (HEALTHY_SECONDS + FAILING_SECONDS);

/** How much more probable an outcome is during a gray failure than on a healthy endpoint. */
export const likelihoodRatios = {
  success: (1 - FAILING_SHARE) / (1 - HEALTHY_FAILING_SHARE),
  /** A success that took several times the mean service time. */
  slowSuccess: 1.5,
  /** Lower than `reset`, because healthy endpoints also return errors for some requests. */
  error: 12,
  shed: 2,
  reset: 25,
  /** A reset of an idle connection; most endpoints that close idle connections are healthy. */
  forgotten: 2,
} as const;

/** Breakpoints of the service time distribution of a healthy endpoint, as multiples of the mean. */
const TYPICAL_MULTIPLE = 1.4;
const LONG_MULTIPLE = 2.6;
const TAIL_MULTIPLE = 7;
const END_MULTIPLE = 11;
/** Shares of the requests that take longer than `LONG_MULTIPLE` and `END_MULTIPLE`. */
const TAIL_SHARE = 0.035;
const END_SHARE = 0.002;

function interpolateGeometrically(from: number, to: number, fraction: number): number {
  return Math.exp(Math.log(from) + (Math.log(to) - Math.log(from)) * fraction);
}

/** Returns the share of the requests of a healthy endpoint that take longer than a multiple of the mean. */
export function computeSurvival(multiple: number): number {
  if (multiple <= TYPICAL_MULTIPLE) {
    return 1;
  }
  if (multiple < LONG_MULTIPLE) {
    const fraction = (multiple - TYPICAL_MULTIPLE) / (LONG_MULTIPLE - TYPICAL_MULTIPLE);
    return interpolateGeometrically(1, TAIL_SHARE, fraction);
  }
  if (multiple < TAIL_MULTIPLE) {
    return TAIL_SHARE;
  }
  const fraction = Math.min(1, (multiple - TAIL_MULTIPLE) / (END_MULTIPLE - TAIL_MULTIPLE));
  return interpolateGeometrically(TAIL_SHARE, END_SHARE, fraction);
}

/** Returns the likelihood ratio of a request that has had no response for a multiple of the mean service time. */
export function computeSilenceRatio(multiple: number): number {
  const healthy = computeSurvival(multiple);
  return (FAILING_SHARE + (1 - FAILING_SHARE) * healthy) / healthy;
}

/**
 * Returns what a likelihood ratio that was observed some time ago tells about the present state: the endpoint may have
 * recovered or failed since.
 */
export function fadeRatio(ratio: number, ageMilliseconds: number): number {
  const remaining = Math.exp(-ageMilliseconds * RATE_PER_MILLISECOND);
  const failingIfFailing = PRIOR_PROBABILITY + (1 - PRIOR_PROBABILITY) * remaining;
  const failingIfHealthy = PRIOR_PROBABILITY * (1 - remaining);
  const likelihood = (failingThen: number): number => failingThen * ratio + 1 - failingThen;
  return likelihood(failingIfFailing) / likelihood(failingIfHealthy);
}

function clampProbability(probability: number): number {
  return Math.min(MAXIMUM_PROBABILITY, Math.max(MINIMUM_PROBABILITY, probability));
}

/** Applies a likelihood ratio to a probability (Bayes' rule) and clamps the result. */
export function updateProbability(probability: number, ratio: number): number {
  const odds = (probability / (1 - probability)) * ratio;
  return clampProbability(odds / (1 + odds));
}

/** The estimated probability that one endpoint is in a gray failure. */
export class FailureEstimate {
  private probability = PRIOR_PROBABILITY;

  constructor(private updatedAt: number) {}

  /** Returns the probability of a gray failure at `now`. */
  at(now: number): number {
    const elapsed = Math.max(0, now - this.updatedAt);
    const decay = Math.exp(-elapsed * RATE_PER_MILLISECOND);
    return clampProbability(PRIOR_PROBABILITY + (this.probability - PRIOR_PROBABILITY) * decay);
  }

  /** Updates the estimate by the likelihood ratio of an outcome. */
  observe(ratio: number, now: number): void {
    this.probability = updateProbability(this.at(now), ratio);
    this.updatedAt = now;
  }

  /** Replaces the estimate with the probability that another dispatcher reported. */
  replace(probability: number, now: number): void {
    this.probability = clampProbability(probability);
    this.updatedAt = now;
  }
}
