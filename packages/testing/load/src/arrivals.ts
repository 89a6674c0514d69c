/**
 * Generates the intended start times of an open-loop load, with constant spacing or as a Poisson
 * process. The rate may change over time.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import * as results from '@dogwoodstall/results';

const STEP_MILLISECONDS = 0.25;

/** Request rate at one point in time. */
export interface RatePoint {
  readonly atMilliseconds: number;
  readonly requestsPerSecond: number;
}

/** Points sorted by time. The rate is interpolated linearly; two points at the same time form a step. */
export type RateProfile = readonly RatePoint[];

/** Options of `generateArrivals`. */
export interface ArrivalOptions {
  readonly kind: 'constant' | 'poisson';
  readonly profile: RateProfile;
  readonly durationMilliseconds: number;
  readonly seed: number;
}

/** Returns a profile with a constant rate. */
export function createFlatProfile(requestsPerSecond: number): RateProfile {
  return [{ atMilliseconds: 0, requestsPerSecond }];
}

/** Returns a profile that ramps up linearly to `factor` times the rate, holds it and drops back. */
export function createRampProfile(options: {
  readonly requestsPerSecond: number;
  readonly factor: number;
  readonly startMilliseconds: number;
  /** 0 produces a step. */
  readonly rampMilliseconds: number;
  readonly holdMilliseconds: number;
}): RateProfile {
  const { requestsPerSecond: base, factor, startMilliseconds: start } = options;
  const peakAt = start + options.rampMilliseconds;
  const endAt = peakAt + options.holdMilliseconds;
  return [
    { atMilliseconds: 0, requestsPerSecond: base },
    { atMilliseconds: start, requestsPerSecond: base },
    { atMilliseconds: peakAt, requestsPerSecond: base * factor },
    { atMilliseconds: endAt, requestsPerSecond: base * factor },
    { atMilliseconds: endAt, requestsPerSecond: base },
  ];
}

/** Returns the requests per second at a point in time; throws `SettingsInvalid` for an empty profile. */
export function rateAt(profile: RateProfile, atMilliseconds: number): number {
  let previous = profile[0];
  if (previous === undefined) {
    throw new results.FailureError('SettingsInvalid', 'a rate profile needs at least one point');
  }
  for (const point of profile) {
    if (point.atMilliseconds > atMilliseconds) {
      const span = point.atMilliseconds - previous.atMilliseconds;
      const share = Math.max(0, atMilliseconds - previous.atMilliseconds) / Math.max(span, 1e-9);
      const rise = point.requestsPerSecond - previous.requestsPerSecond;
      return previous.requestsPerSecond + rise * Math.min(1, share);
    }
    previous = point;
  }
  return previous.requestsPerSecond;
}

/** Yields the intended start times in milliseconds after the start of the load. */
export function* generateArrivals(options: ArrivalOptions): Generator<number> {
  const random = xoroshiro128plus(options.seed);
  const drawDistance = (): number =>
    options.kind === 'constant' ? 1 : -Math.log(1 - uniformFloat64(random));
  // Integrates the expected number of arrivals over time. The next arrival is due when the integral
  // has grown by the drawn distance since the previous arrival.
  let remaining = drawDistance();
  for (let at = 0; at < options.durationMilliseconds; at += STEP_MILLISECONDS) {
    const expected = (rateAt(options.profile, at) * STEP_MILLISECONDS) / 1000;
    let usedShare = 0;
    while (remaining <= expected * (1 - usedShare)) {
      usedShare += remaining / expected;
      yield at + usedShare * STEP_MILLISECONDS;
      remaining = drawDistance();
    }
    remaining -= expected * (1 - usedShare);
  }
}
