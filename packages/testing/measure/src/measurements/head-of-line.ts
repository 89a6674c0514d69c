/**
 * Queueing time of short requests while 2% of the requests take 50 times longer, at 25 endpoints of
 * 2 slots and 85% utilisation, through 12 daemons. Service times (40 ms and 2 s) are twice those of the
 * requirements and the rate is half, so that the CPU of the host stays below 50%; queueing time scales
 * with the service time.
 */
import * as load from '@dogwoodstall/load';
import { callerTokenOf } from '../fleet/first-change.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { type Figures, type Measurement, type MeasurementContext } from '../measurement.js';
import {
  listCallerAddresses,
  compareSubjects,
  createCellTopology,
  HOST,
  OWNER,
  type Subject,
  subjects,
} from '../routing/cell-fleet.js';
import { computePercentile } from '../routing/statistics.js';

const ENDPOINTS = 25;
const SLOTS = 2;
const UTILISATION = 0.85;
const SHORT_MEAN_MILLISECONDS = 40;
const LONG_MILLISECONDS = 50 * SHORT_MEAN_MILLISECONDS;
const LONG_SHARE = 0.02;
const DEADLINE_MILLISECONDS = 60_000;
const WARM_UP_MILLISECONDS = 1000;

/** Number of equally frequent classes that approximate exponentially distributed service times. */
const SHORT_CLASSES = 10;

const topology = createCellTopology({
  endpoints: ENDPOINTS,
  slots: SLOTS,
  contract: { deadlineMilliseconds: DEADLINE_MILLISECONDS },
  routes: [
    { name: 'prices', pathPrefix: '/prices', methods: ['GET'], idempotent: true },
    {
      name: 'histories',
      pathPrefix: '/histories',
      methods: ['GET'],
      idempotent: true,
      sizeClass: 'long',
    },
  ],
});

interface TimedClass {
  readonly milliseconds: number;
  readonly long: boolean;
  readonly requestClass: load.RequestClass;
}

function createClass(name: string, path: string, milliseconds: number, weight: number): TimedClass {
  return {
    milliseconds,
    long: path === '/histories',
    requestClass: {
      name,
      weight,
      method: 'GET',
      path: `${path}?work=${milliseconds}`,
      host: HOST,
      organisationToken: callerTokenOf(OWNER),
      idempotent: true,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    },
  };
}

function createClasses(): TimedClass[] {
  const times = Array.from({ length: SHORT_CLASSES }, (_, index) =>
    Math.round(-SHORT_MEAN_MILLISECONDS * Math.log(1 - (index + 0.5) / SHORT_CLASSES)),
  );
  const weight = (1 - LONG_SHARE) / SHORT_CLASSES;
  return [
    ...times.map((time, index) => createClass(`short-${index}`, '/prices', time, weight)),
    createClass('long', '/histories', LONG_MILLISECONDS, LONG_SHARE),
  ];
}

const classes = createClasses();
const classByName = new Map(classes.map((timed) => [timed.requestClass.name, timed]));

function computeRate(): number {
  let mean = 0;
  for (const { milliseconds, requestClass } of classes) {
    mean += milliseconds * requestClass.weight;
  }
  return (ENDPOINTS * SLOTS * UTILISATION * 1000) / mean;
}

interface Waits {
  readonly short: number[];
  readonly long: number[];
  notOk: number;
  largestStartDelay: number;
}

async function measureWaits(
  fleet: LocalFleet,
  seed: number,
  durationMilliseconds: number,
): Promise<Waits> {
  const waits: Waits = { short: [], long: [], notOk: 0, largestStartDelay: 0 };
  const result = await load.runLoad({
    targets: listCallerAddresses(fleet),
    classes: classes.map(({ requestClass }) => requestClass),
    arrivals: 'poisson',
    profile: load.createFlatProfile(computeRate()),
    durationMilliseconds: WARM_UP_MILLISECONDS + durationMilliseconds,
    seed,
    onOutcome: (outcome) => {
      const timed = classByName.get(outcome.className);
      if (timed === undefined || outcome.intendedAt < WARM_UP_MILLISECONDS) {
        return;
      }
      if (outcome.kind !== 'ok') {
        waits.notOk += 1;
        return;
      }
      const wait = Math.max(0, outcome.latencyMilliseconds - timed.milliseconds);
      (timed.long ? waits.long : waits.short).push(wait);
    },
  });
  waits.largestStartDelay = result.largestStartDelayMilliseconds;
  return waits;
}

function describeWaits(subject: Subject, waits: Waits): Record<string, number> {
  const { short, long } = waits;
  return {
    [`${subject}ShortWaitP50Milliseconds`]: computePercentile(short, 0.5),
    [`${subject}ShortWaitP99Milliseconds`]: computePercentile(short, 0.99),
    [`${subject}ShortWaitWorstMilliseconds`]: computePercentile(short, 1),
    [`${subject}LongWaitP99Milliseconds`]: computePercentile(long, 0.99),
    [`${subject}LongLatencyP99Milliseconds`]: computePercentile(long, 0.99) + LONG_MILLISECONDS,
    [`${subject}NotOkRequests`]: waits.notOk,
    [`${subject}ShortRequests`]: short.length,
  };
}

async function run({ seed, durationMilliseconds, print }: MeasurementContext): Promise<Figures> {
  const figures: Record<string, number> = { offeredRequestsPerSecond: Math.round(computeRate()) };
  const phaseMilliseconds = durationMilliseconds / subjects.length - WARM_UP_MILLISECONDS;
  let startDelay = 0;
  await compareSubjects({ topology, seed }, async (fleet, subject) => {
    const waits = await measureWaits(fleet, seed, phaseMilliseconds);
    Object.assign(figures, describeWaits(subject, waits));
    startDelay = Math.max(startDelay, waits.largestStartDelay);
    const p99 = computePercentile(waits.short, 0.99);
    print(`${subject}: ${waits.short.length} short requests, p99 wait ${p99} ms`);
  });
  return { ...figures, largestStartDelayMilliseconds: Math.round(startDelay) };
}

export const measurement: Measurement = {
  name: 'head-of-line',
  summary: 'waits of short requests behind long ones, against daemons that decide alone',
  run,
};
