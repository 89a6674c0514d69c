/**
 * Statistical test of whether an endpoint has more adverse outcomes than is expected from its peers
 * and than chance explains.
 */
import { addSlowness, findSlowness, type SlownessSums } from './slowness-comparison.js';
import { isAdverse, type OutcomeFlags, type Sample } from './samples.js';

/** Counts of one stratum; `adverse` has one count for each of `flagKeys`. */
interface Counts {
  total: number;
  readonly adverse: [number, number];
}

/** The flags in the order of `Counts.adverse`. */
const flagKeys: readonly (keyof OutcomeFlags)[] = ['failed', 'slowerThanPast'];

const flagEvidenceKinds = ['failures', 'slower-than-past'] as const;

/** What an endpoint is compared by. */
export type EvidenceKind = (typeof flagEvidenceKinds)[number] | 'slow';

/** Evidence that an endpoint is an outlier. */
export interface Evidence {
  readonly kind: EvidenceKind;
  /** The route, or `*` for all routes together. */
  readonly routeName: string;
  readonly samples: number;
  readonly observed: number;
  /** Adverse outcomes that are expected from the peers' shares. */
  readonly expected: number;
  /** Negative natural logarithm of the bound on the probability that chance explains it. */
  readonly strength: number;
}

/** Samples of the peers that a stratum needs to be compared. */
const MINIMUM_PEER_SAMPLES = 10;

/** Lower limit of the share of adverse outcomes that counts as normal. */
const MINIMUM_NORMAL_SHARE = 0.005;

/** Standard deviations added to the peers' share, because it is itself an estimate. */
const SHARE_MARGIN_DEVIATIONS = 1.5;

const MINIMUM_ADVERSE_OUTCOMES = 3;

/** Smallest relevant excess over the expected share, for each of `flagEvidenceKinds`. */
const MINIMUM_EXCESS = [0.1, 0.35] as const;

/** Outcomes of one endpoint, or of all endpoints, in a window by stratum. */
export class StratumCounts {
  readonly strata = new Map<string, Counts>();

  readonly slowness = new Map<string, SlownessSums>();

  readonly routeOf = new Map<string, string>();

  /** Adds a sample. */
  add(sample: Sample): void {
    let counts = this.strata.get(sample.stratum);
    if (counts === undefined) {
      counts = { total: 0, adverse: [0, 0] };
      this.strata.set(sample.stratum, counts);
      this.routeOf.set(sample.stratum, sample.routeName);
    }
    counts.total += 1;
    const sums = this.slowness.get(sample.stratum) ?? { total: 0, surprise: 0, logarithm: 0 };
    this.slowness.set(sample.stratum, addSlowness(sums, sample));
    if (!isAdverse(sample.flags)) {
      return;
    }
    for (const [index, key] of flagKeys.entries()) {
      counts.adverse[index as 0] += sample.flags[key] ? 1 : 0;
    }
  }
}

/**
 * Returns the negative natural logarithm of the Chernoff bound on the probability that a sum of
 * independent events with mean `expected` reaches `observed`.
 */
export function computeChernoffStrength(observed: number, expected: number): number {
  if (observed <= expected) {
    return 0;
  }
  return observed * Math.log(observed / expected) - observed + expected;
}

interface RouteSum {
  samples: number;
  observed: number;
  expected: number;
}

function estimateNormalShare(peerTotal: number, peerAdverse: number): number {
  const margin = SHARE_MARGIN_DEVIATIONS * Math.sqrt(peerAdverse + 1);
  return Math.min(
    1,
    Math.max(MINIMUM_NORMAL_SHARE, (peerAdverse + (peerAdverse > 0 ? margin : 0)) / peerTotal),
  );
}

function sumByRoute(own: StratumCounts, all: StratumCounts, index: number): Map<string, RouteSum> {
  const sums = new Map<string, RouteSum>([['*', { samples: 0, observed: 0, expected: 0 }]]);
  for (const [stratum, counts] of own.strata) {
    const total = all.strata.get(stratum);
    const peerTotal = (total?.total ?? 0) - counts.total;
    if (total === undefined || peerTotal < MINIMUM_PEER_SAMPLES) {
      continue;
    }
    const observed = counts.adverse[index] ?? 0;
    const peerAdverse = (total.adverse[index] ?? 0) - observed;
    const expected = counts.total * estimateNormalShare(peerTotal, peerAdverse);
    const routeName = own.routeOf.get(stratum) ?? '*';
    const route = sums.get(routeName) ?? { samples: 0, observed: 0, expected: 0 };
    sums.set(routeName, route);
    for (const sum of [route, sums.get('*') ?? route]) {
      sum.samples += counts.total;
      sum.observed += observed;
      sum.expected += expected;
    }
  }
  return sums;
}

function findSlowEvidence(own: StratumCounts, all: StratumCounts): Evidence | undefined {
  const slowness = findSlowness(own, all);
  if (slowness === undefined) {
    return undefined;
  }
  const { samples, surprise, expected, strength } = slowness;
  return { kind: 'slow', routeName: '*', samples, observed: surprise, expected, strength };
}

/**
 * Compares an endpoint with its peers in one window.
 *
 * `all` includes the endpoint's own outcomes. Returns the strongest evidence, or undefined if no
 * difference is both statistically significant and large enough to be relevant.
 */
export function findEvidence(own: StratumCounts, all: StratumCounts): Evidence | undefined {
  let strongest = findSlowEvidence(own, all);
  for (const [index, kind] of flagEvidenceKinds.entries()) {
    for (const [routeName, sum] of sumByRoute(own, all, index)) {
      const excess = (sum.observed - sum.expected) / Math.max(1, sum.samples);
      if (sum.observed < MINIMUM_ADVERSE_OUTCOMES || excess < (MINIMUM_EXCESS[index] ?? 1)) {
        continue;
      }
      const strength = computeChernoffStrength(sum.observed, sum.expected);
      if (strength > (strongest?.strength ?? 0)) {
        strongest = { kind, routeName, ...sum, strength };
      }
    }
  }
  return strongest;
}
