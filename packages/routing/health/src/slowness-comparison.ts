/**
 * Statistical test for slow endpoints. The surprise (self-information) of a service time is the
 * negative logarithm of the probability that a request of its route takes at least that long. For
 * normal requests, it is exponentially distributed with mean 1, whatever the distribution of the
 * service times.
 */
import type { Sample } from './samples.js';

/** Sums over the samples of one stratum. */
export interface SlownessSums {
  total: number;
  surprise: number;
  /** Sum of the logarithms of the ratios to the route's median. */
  logarithm: number;
}

/** Result of a comparison that found an endpoint slower than its peers. */
export interface Slowness {
  readonly samples: number;
  readonly surprise: number;
  /** Sum of the surprises that is expected from the peers' samples. */
  readonly expected: number;
  readonly strength: number;
}

/** Ratio to the peers' service times (geometric mean) from which an endpoint counts as slow. */
const MINIMUM_SLOWDOWN = 3;

const MINIMUM_SAMPLES = 3;

/** Samples of the peers that a route needs to be compared. */
const MINIMUM_PEER_SAMPLES = 10;

/** Weight, in samples, of the route's mean in that of a stratum; stabilises small strata. */
const ROUTE_WEIGHT = 10;

/** Adds a sample, unless it has no comparable service time. */
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

function subtract(left: SlownessSums, right: SlownessSums | undefined): SlownessSums {
  return {
    total: left.total - (right?.total ?? 0),
    surprise: left.surprise - (right?.surprise ?? 0),
    logarithm: left.logarithm - (right?.logarithm ?? 0),
  };
}

/** Sums by stratum, and the route of each stratum. */
export interface SlownessByStratum {
  readonly slowness: ReadonlyMap<string, SlownessSums>;
  readonly routeOf: ReadonlyMap<string, string>;
}

function sumByRoute(own: SlownessByStratum, all: SlownessByStratum): Map<string, SlownessSums> {
  const routes = new Map<string, SlownessSums>();
  for (const [stratum, sums] of all.slowness) {
    const peers = subtract(sums, own.slowness.get(stratum));
    const routeName = all.routeOf.get(stratum) ?? '*';
    const route = routes.get(routeName) ?? { total: 0, surprise: 0, logarithm: 0 };
    route.total += peers.total;
    route.surprise += peers.surprise;
    route.logarithm += peers.logarithm;
    routes.set(routeName, route);
  }
  return routes;
}

function estimateExpectedMean(
  key: 'surprise' | 'logarithm',
  peers: SlownessSums,
  route: SlownessSums,
): number {
  const routeMean = route[key] / route.total;
  return (peers[key] + ROUTE_WEIGHT * routeMean) / (peers.total + ROUTE_WEIGHT);
}

/**
 * Compares an endpoint's sums with those of all endpoints, stratum by stratum.
 *
 * If the whole service became slow, the expected surprise is the higher mean of the peers. The
 * strength is the Chernoff bound for a sum of exponential variables.
 */
export function findSlowness(own: SlownessByStratum, all: SlownessByStratum): Slowness | undefined {
  let samples = 0;
  let surprise = 0;
  let expected = 0;
  let slowdown = 0;
  const routes = sumByRoute(own, all);
  for (const [stratum, sums] of own.slowness) {
    const route = routes.get(own.routeOf.get(stratum) ?? '*');
    const total = all.slowness.get(stratum);
    if (route !== undefined && total !== undefined && route.total >= MINIMUM_PEER_SAMPLES) {
      const peers = subtract(total, sums);
      samples += sums.total;
      surprise += sums.surprise;
      expected += sums.total * Math.max(1, estimateExpectedMean('surprise', peers, route));
      slowdown += sums.logarithm - sums.total * estimateExpectedMean('logarithm', peers, route);
    }
  }
  if (samples < MINIMUM_SAMPLES || slowdown < samples * Math.log(MINIMUM_SLOWDOWN)) {
    return undefined;
  }
  const ratio = surprise / expected;
  const strength = ratio <= 1 ? 0 : samples * (ratio - 1 - Math.log(ratio));
  return { samples, surprise, expected, strength };
}
