/**
 * The test for slow endpoints. Each service time counts with its surprise: the negative logarithm of
 * the probability that a request of its route takes at least that long. Surprises of normal work are
 * exponential with mean 1, whatever the distribution of the service times.
 */
import type { Sample } from './samples.js';

/** Sums over the samples of one stratum. */
export interface SlownessSums {
  total: number;
  surprise: number;
  /** Sum of the logarithms of the ratios to the route's median. */
  logarithm: number;
}

/** The result of a comparison. */
export interface Slowness {
  readonly samples: number;
  readonly surprise: number;
  /** Sum of the surprises that the peers lead to expect. */
  readonly expected: number;
  readonly strength: number;
}

/** An endpoint must be so many times slower than its peers, in the geometric mean. */
const MINIMUM_SLOWDOWN = 3;

const MINIMUM_SAMPLES = 3;

/** Below this number of the peers' samples a stratum is not compared. */
const MINIMUM_PEER_SAMPLES = 10;

/** Adds a sample; one without a known service time is left out. */
export function addSlowness(sums: SlownessSums, sample: Sample): SlownessSums {
  if (sample.time === undefined) {
    return sums;
  }
  return {
    total: sums.total + 1,
    surprise: sums.surprise + sample.time.surprise,
    logarithm: sums.logarithm + sample.time.logarithm,
  };
}

/**
 * Compares an endpoint's sums with those of all endpoints, stratum by stratum.
 *
 * If the peers are surprising too, because the service as a whole became slow, their mean is what is
 * expected. Chernoff's bound on a sum of exponential variables gives the strength.
 */
export function findSlowness(
  own: ReadonlyMap<string, SlownessSums>,
  all: ReadonlyMap<string, SlownessSums>,
): Slowness | undefined {
  let samples = 0;
  let surprise = 0;
  let expected = 0;
  let slowdown = 0;
  for (const [stratum, sums] of own) {
    const total = all.get(stratum);
    const peers = (total?.total ?? 0) - sums.total;
    if (total !== undefined && peers >= MINIMUM_PEER_SAMPLES) {
      const peerSurprise = (total.surprise - sums.surprise) / peers;
      const peerLogarithm = (total.logarithm - sums.logarithm) / peers;
      samples += sums.total;
      surprise += sums.surprise;
      expected += sums.total * Math.max(1, peerSurprise);
      slowdown += sums.logarithm - sums.total * peerLogarithm;
    }
  }
  if (samples < MINIMUM_SAMPLES || slowdown < samples * Math.log(MINIMUM_SLOWDOWN)) {
    return undefined;
  }
  const ratio = surprise / expected;
  const strength = ratio <= 1 ? 0 : samples * (ratio - 1 - Math.log(ratio));
  return { samples, surprise, expected, strength };
}
