/**
 * A load surge: half of the capacity, a ramp to 5 times the capacity within a second, some seconds at
 * this peak (the crest), and back. One organisation causes the surge on two routes of different priority
 * while 50 others together send a quarter of the capacity at a constant rate.
 *
 * Service times are 200 ms, so that 5 times the capacity of 50 slots is 1,250 requests/s, a rate that
 * one host can generate and serve.
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
  subjects,
} from '../routing/cell-fleet.js';
import { describeCrest, type CrestOutcome, type CrestTimes } from '../routing/crest-figures.js';
import { computePercent } from '../routing/statistics.js';

const ENDPOINTS = 25;
const SLOTS = 2;
const WORK_MILLISECONDS = 200;
const VARIATION = 0.5;
const CAPACITY_PER_SECOND = (ENDPOINTS * SLOTS * 1000) / WORK_MILLISECONDS;
const DEADLINE_MILLISECONDS = 2000;
const MODEST_ORGANISATIONS = 50;
const FLOOD = 'flood';

/** Offered load as shares of the capacity. */
const MODEST_LOAD = 0.25;
const FLOOD_LOAD = 0.25;
const FLOOD_CREST_LOAD = 4.75;

const CALM_MILLISECONDS = 1500;
const RISE_MILLISECONDS = 1000;
const AFTER_MILLISECONDS = 2500;

const modestOrganisations = Array.from(
  { length: MODEST_ORGANISATIONS },
  (_, index) => `modest-${index + 1}`,
);

const topology = createCellTopology({
  endpoints: ENDPOINTS,
  slots: SLOTS,
  variation: VARIATION,
  contract: { deadlineMilliseconds: DEADLINE_MILLISECONDS },
  routes: [
    { name: 'prices', pathPrefix: '/prices', methods: ['GET'], idempotent: true },
    { name: 'batch', pathPrefix: '/batch', methods: ['GET'], idempotent: true, priority: 2 },
  ],
});

function createClass(organisation: string, path: string): load.RequestClass {
  return {
    name: `${organisation} ${path}`,
    weight: 1,
    method: 'GET',
    path: `${path}?work=${WORK_MILLISECONDS}`,
    host: HOST,
    organisationToken: callerTokenOf(organisation),
    idempotent: true,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
  };
}

const modestClasses = modestOrganisations.map((organisation) =>
  createClass(organisation, '/prices'),
);
const floodClasses = [createClass(FLOOD, '/prices'), createClass(FLOOD, '/batch')];

function computeTimes(durationMilliseconds: number): CrestTimes {
  const peakAt = CALM_MILLISECONDS + RISE_MILLISECONDS;
  const endAt = Math.max(peakAt + 1000, durationMilliseconds - AFTER_MILLISECONDS);
  return { steadyFrom: CALM_MILLISECONDS / 3, riseAt: CALM_MILLISECONDS, peakAt, endAt };
}

async function runSwing(fleet: LocalFleet, seed: number, times: CrestTimes) {
  const outcomes: CrestOutcome[] = [];
  const durationMilliseconds = times.endAt + AFTER_MILLISECONDS;
  const shared = {
    targets: listCallerAddresses(fleet),
    arrivals: 'poisson' as const,
    durationMilliseconds,
  };
  const swing = load.createRampProfile({
    requestsPerSecond: FLOOD_LOAD * CAPACITY_PER_SECOND,
    factor: FLOOD_CREST_LOAD / FLOOD_LOAD,
    startMilliseconds: times.riseAt,
    rampMilliseconds: RISE_MILLISECONDS,
    holdMilliseconds: times.endAt - times.peakAt,
  });
  const [modestResult, floodResult] = await Promise.all([
    load.runLoad({
      ...shared,
      seed,
      classes: modestClasses,
      profile: load.createFlatProfile(MODEST_LOAD * CAPACITY_PER_SECOND),
      onOutcome: (outcome) => outcomes.push({ ...outcome, sender: 'modest' }),
    }),
    load.runLoad({
      ...shared,
      // Keeps the arrivals independent of those of the modest organisations.
      seed: seed + 1,
      classes: floodClasses,
      profile: swing,
      onOutcome: (outcome) => {
        const sender = outcome.className.endsWith('/batch') ? 'floodBatch' : 'flood';
        outcomes.push({ ...outcome, sender });
      },
    }),
  ]);
  const startDelay = Math.max(
    modestResult.largestStartDelayMilliseconds,
    floodResult.largestStartDelayMilliseconds,
  );
  return { outcomes, startDelay };
}

async function run({ seed, durationMilliseconds, print }: MeasurementContext): Promise<Figures> {
  const figures: Record<string, number> = {
    capacityRequestsPerSecond: CAPACITY_PER_SECOND,
    crestRequestsPerSecond: CAPACITY_PER_SECOND * (MODEST_LOAD + FLOOD_CREST_LOAD),
  };
  const times = computeTimes(durationMilliseconds / subjects.length);
  let largestDelay = 0;
  await compareSubjects(
    { topology, seed, organisations: [...modestOrganisations, FLOOD] },
    async (...each) => {
      const [fleet, subject] = each;
      const { outcomes, startDelay } = await runSwing(fleet, seed, times);
      const crestFigures = describeCrest(outcomes, times, CAPACITY_PER_SECOND);
      for (const [name, value] of Object.entries(crestFigures)) {
        figures[`${subject}${name}`] = value;
      }
      largestDelay = Math.max(largestDelay, startDelay);
      const inTime = outcomes.filter(({ kind }) => kind === 'ok').length;
      print(
        `${subject}: ${computePercent(inTime, outcomes.length)}% of ${outcomes.length} in time`,
      );
      print(JSON.stringify(crestFigures));
    },
  );
  return { ...figures, largestStartDelayMilliseconds: Math.round(largestDelay) };
}

export const measurement: Measurement = {
  name: 'crest',
  summary:
    'goodput, fairness and recovery at 5 times the capacity, against daemons that decide alone',
  run,
};
