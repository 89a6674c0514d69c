/**
 * Time from a gray failure of one of 25 endpoints until it receives no new requests, at 70% load
 * through 12 daemons; false ejections during a surge, a store outage, a cold start and false load
 * reports; and the number of lost requests.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as load from '@dogwoodstall/load';
import { callerTokenOf } from '../fleet/first-change.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { type Figures, type Measurement, type MeasurementContext } from '../measurement.js';
import {
  listCallerAddresses,
  compareSubjects,
  countViolations,
  createCellTopology,
  HOST,
  OWNER,
  SERVICE,
  type Subject,
} from '../routing/cell-fleet.js';
import { detectInBaseline } from '../routing/detection-baseline.js';
import { detectInProduct, readEjectionCounts } from '../routing/detection-product.js';
import { faultKinds } from '../routing/endpoint-faults.js';
import { computePercent, computePercentile } from '../routing/statistics.js';

const ENDPOINTS = 25;
const SLOTS = 2;
const UTILISATION = 0.7;
const SEARCH_SHARE = 0.2;
const PRICES_MILLISECONDS = 50;
const SEARCH_MILLISECONDS = 100;
const MEAN_MILLISECONDS =
  (1 - SEARCH_SHARE) * PRICES_MILLISECONDS + SEARCH_SHARE * SEARCH_MILLISECONDS;
const RATE_PER_SECOND = (ENDPOINTS * SLOTS * UTILISATION * 1000) / MEAN_MILLISECONDS;
const SURGE_FACTOR = 3;
const DEADLINE_MILLISECONDS = 2000;

const WARM_UP_MILLISECONDS = 3000;
const LONGEST_LOAD_MILLISECONDS = 600_000;
const BASELINE_WINDOW_MILLISECONDS = 4000;

/** Endpoints that fail all requests at the same time: more than the ejection limit allows to eject. */
const FAILING_ENDPOINTS = 15;
const FAILING_MILLISECONDS = 3000;
const CONFOUNDING_MILLISECONDS = 5000;
const CRASH_REFUSAL_MILLISECONDS = 300;

/** Share of the duration in which faults are injected into the product's fleet. */
const PRODUCT_SHARE = 0.33;

const topology = createCellTopology({
  endpoints: ENDPOINTS,
  slots: SLOTS,
  variation: 0.5,
  coldStartFactor: 3,
  coldStartMilliseconds: 3000,
  contract: { deadlineMilliseconds: DEADLINE_MILLISECONDS },
  routes: [
    { name: 'prices', pathPrefix: '/prices', methods: ['GET'], idempotent: true },
    { name: 'search', pathPrefix: '/search', methods: ['GET'], idempotent: true },
  ],
  proxied: ['backend'],
});

function createClass(path: string, work: number, weight: number): load.RequestClass {
  return {
    name: path,
    weight,
    method: 'GET',
    path: `${path}?work=${work}`,
    host: HOST,
    organisationToken: callerTokenOf(OWNER),
    idempotent: true,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
  };
}

const classes = [
  createClass('/prices', PRICES_MILLISECONDS, 1 - SEARCH_SHARE),
  createClass('/search', SEARCH_MILLISECONDS, SEARCH_SHARE),
];

/** Load that runs while faults are injected, and its counts so far. */
class BackgroundLoad {
  private readonly abortController = new AbortController();

  private readonly running: Promise<load.LoadResult>;

  private lostCount = 0;

  private requestCount = 0;

  constructor(fleet: LocalFleet, seed: number, requestsPerSecond: number) {
    this.running = load.runLoad({
      targets: listCallerAddresses(fleet),
      classes,
      arrivals: 'poisson',
      profile: load.createFlatProfile(requestsPerSecond),
      durationMilliseconds: LONGEST_LOAD_MILLISECONDS,
      seed,
      signal: this.abortController.signal,
      onOutcome: ({ kind }) => {
        this.requestCount += 1;
        this.lostCount += kind === 'ok' ? 0 : 1;
      },
    });
  }

  /** Finished requests, and those of them without a complete response in time. */
  get counts(): { requests: number; lost: number } {
    return { requests: this.requestCount, lost: this.lostCount };
  }

  async stop(): Promise<load.LoadResult> {
    this.abortController.abort();
    return this.running;
  }
}

/**
 * Injects conditions that must not cause ejections: a store outage, false load reports and a surge.
 * Also crashes one endpoint and returns its name.
 */
async function injectConfoundingFaults(fleet: LocalFleet, seed: number): Promise<string> {
  const backends = fleet.backends(SERVICE).control;
  const crashed = `${SERVICE}-${ENDPOINTS}`;
  await fleet.store.control.post('/faults', { outage: 'reset' });
  const underreporting = [`${SERVICE}-1`, `${SERVICE}-2`];
  const overreporting = [`${SERVICE}-3`, `${SERVICE}-4`];
  const lowReport = { inFlight: 0, queued: 0 };
  const highReport = { inFlight: SLOTS, queued: 50 };
  await backends.post('/faults', { servers: underreporting, faults: { falseReport: lowReport } });
  await backends.post('/faults', { servers: overreporting, faults: { falseReport: highReport } });
  const refusalMilliseconds = CRASH_REFUSAL_MILLISECONDS;
  await backends.post('/crash', { servers: [crashed], refusalMilliseconds });
  const surge = new BackgroundLoad(fleet, seed + 1, RATE_PER_SECOND * SURGE_FACTOR);
  await sleep(CONFOUNDING_MILLISECONDS / 2);
  await surge.stop();
  await sleep(CONFOUNDING_MILLISECONDS / 2);
  await fleet.store.control.post('/faults', { outage: 'none' });
  await backends.post('/faults/clear', {});
  return crashed;
}

/** Makes most endpoints fail all requests for a time; returns the percentage that succeeded. */
async function failMostEndpoints(fleet: LocalFleet, background: BackgroundLoad): Promise<number> {
  const backends = fleet.backends(SERVICE).control;
  const servers = Array.from(
    { length: FAILING_ENDPOINTS },
    (_, index) => `${SERVICE}-${index + 1}`,
  );
  await backends.post('/faults', { servers, faults: { failShare: 1 } });
  const before = background.counts;
  await sleep(FAILING_MILLISECONDS);
  const after = background.counts;
  await backends.post('/faults/clear', {});
  const requests = after.requests - before.requests;
  return computePercent(requests - (after.lost - before.lost), requests);
}

function describeProduct(times: ReadonlyMap<string, number[]>): Record<string, number> {
  const figures: Record<string, number> = {};
  for (const [kind, values] of times) {
    figures[`product${kind}DetectionMedianMilliseconds`] = computePercentile(values, 0.5);
    figures[`product${kind}DetectionWorstMilliseconds`] = computePercentile(values, 1);
    figures[`product${kind}Repetitions`] = values.length;
  }
  const all = [...times.values()].flat();
  figures.productDetectionMedianMilliseconds = computePercentile(all, 0.5);
  figures.productDetectionP99Milliseconds = computePercentile(all, 0.99);
  return figures;
}

async function measureProduct(
  fleet: LocalFleet,
  context: MeasurementContext,
): Promise<Record<string, number>> {
  const { seed, durationMilliseconds } = context;
  const background = new BackgroundLoad(fleet, seed, RATE_PER_SECOND);
  await sleep(WARM_UP_MILLISECONDS);
  const before = background.counts;
  const faultsAt = performance.now();
  const detections = await detectInProduct(fleet, ENDPOINTS, durationMilliseconds * PRODUCT_SHARE);
  const after = background.counts;
  const crashed = await injectConfoundingFaults(fleet, seed);
  const endpointHours = ((performance.now() - faultsAt) * (ENDPOINTS - 1)) / 3_600_000;
  const ejections = await readEjectionCounts(fleet);
  const successPercent = await failMostEndpoints(fleet, background);
  const { largestStartDelayMilliseconds } = await background.stop();
  let falseEjections = 0;
  for (const [server, count] of ejections) {
    falseEjections += detections.faulty.has(server) || server === crashed ? 0 : count;
  }
  const faults = [...detections.times.values()].flat().length;
  return {
    ...describeProduct(detections.times),
    productArrivalsAfterEjection: detections.arrivalsAfterEjection,
    productLostRequestsPerFault: (after.lost - before.lost) / faults,
    productFalseEjections: falseEjections,
    productObservedEndpointHours: endpointHours,
    productMostEndpointsBadSuccessPercent: successPercent,
    productInvariantViolations: await countViolations(fleet),
    productLargestStartDelayMilliseconds: Math.round(largestStartDelayMilliseconds),
  };
}

async function measureBaseline(
  fleet: LocalFleet,
  subject: Subject,
  seed: number,
): Promise<Record<string, number>> {
  const background = new BackgroundLoad(fleet, seed, RATE_PER_SECOND);
  await sleep(WARM_UP_MILLISECONDS / 3);
  const before = background.counts;
  const detections = await detectInBaseline(fleet, BASELINE_WINDOW_MILLISECONDS);
  const after = background.counts;
  await background.stop();
  const figures: Record<string, number> = {};
  for (const [kind, milliseconds] of detections) {
    figures[`${subject}${kind}DetectionMilliseconds`] =
      milliseconds ?? BASELINE_WINDOW_MILLISECONDS;
  }
  const detected = [...detections.values()].filter((value) => value !== undefined);
  figures[`${subject}DetectedKinds`] = detected.length;
  figures[`${subject}LostRequestsPerFault`] = (after.lost - before.lost) / faultKinds.length;
  return figures;
}

async function run(context: MeasurementContext): Promise<Figures> {
  const { seed, print } = context;
  const figures: Record<string, number> = {};
  await compareSubjects({ topology, seed }, async (fleet, subject) => {
    const measured =
      subject === 'product'
        ? await measureProduct(fleet, context)
        : await measureBaseline(fleet, subject, seed);
    Object.assign(figures, measured);
    print(JSON.stringify(measured));
  });
  return figures;
}

export const measurement: Measurement = {
  name: 'detection',
  summary: 'time to detect gray failures and false ejections, against passive ejection',
  run,
};
