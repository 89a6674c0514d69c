/**
 * Time that daemons add to a request: through one daemon and through two, against a direct
 * connection with the same seed and load; at 200 requests/s and at the highest rate that one daemon
 * holds.
 */
import * as hashing from '@dogwoodstall/hashing';
import * as load from '@dogwoodstall/load';
import * as model from '@dogwoodstall/model';
import * as standIns from '@dogwoodstall/stand-ins';
import { callerTokenOf } from '../fleet/first-change.js';
import { LocalFleet } from '../fleet/local-fleet.js';
import type { Topology } from '../fleet/topology.js';
import {
  roundFigure,
  type Figures,
  type Measurement,
  type MeasurementContext,
} from '../measurement.js';

const LOW_RATE = 200;
const FIRST_SEARCH_RATE = 500;
const SEARCH_FACTOR = 1.4;
const HIGHEST_SEARCH_RATE = 20_000;
const SEARCH_STEP_MILLISECONDS = 1000;
// The first requests of fresh processes and pools measure compilation and connection set-up.
const WARM_UP_MILLISECONDS = 600;
// A rate is held when 99.9% of the requests succeed and p99 stays below this.
const HELD_SHARE = 0.999;
const HELD_P99_MILLISECONDS = 50;
const PHASES = 6;
// Share of the time that remains for the six compared phases besides the search.
const PHASE_SHARE = 0.5;

const topology: Topology = {
  zones: [{ name: 'zone-a', region: 'region-1' }],
  daemonsPerZone: 3,
  services: [
    {
      name: 'echo',
      organisation: 'measurement',
      serverCount: 4,
      slots: 200,
      connectionLimit: 2000,
      workMilliseconds: 0,
      variation: 0,
      routes: [
        {
          name: 'echo',
          host: 'echo.test',
          pathPrefix: '/',
          methods: ['GET'],
          idempotent: true,
        },
      ],
    },
  ],
};

const requestClass: load.RequestClass = {
  name: 'echo',
  weight: 1,
  method: 'GET',
  path: '/echo?work=0',
  host: 'echo.test',
  organisationToken: callerTokenOf('measurement'),
  idempotent: true,
  deadlineMilliseconds: 1000,
};

interface Phase {
  readonly targets: readonly string[];
  readonly requestsPerSecond: number;
  readonly durationMilliseconds: number;
  readonly seed: number;
}

async function runPhase(phase: Phase): Promise<load.Summary> {
  const { requestsPerSecond, durationMilliseconds, ...options } = phase;
  const result = await load.runLoad({
    ...options,
    durationMilliseconds: WARM_UP_MILLISECONDS + durationMilliseconds,
    warmUpMilliseconds: WARM_UP_MILLISECONDS,
    classes: [requestClass],
    arrivals: 'poisson',
    profile: load.createFlatProfile(requestsPerSecond),
    createVerifier: standIns.createVerifier,
  });
  return result.book.total;
}

async function findHeldRate(targets: readonly string[], seed: number): Promise<number> {
  let held = 0;
  for (let rate = FIRST_SEARCH_RATE; rate <= HIGHEST_SEARCH_RATE; rate *= SEARCH_FACTOR) {
    const requestsPerSecond = Math.round(rate);
    const durationMilliseconds = SEARCH_STEP_MILLISECONDS;
    const summary = await runPhase({ targets, requestsPerSecond, durationMilliseconds, seed });
    const share = summary.count('ok') / Math.max(1, summary.requests);
    if (share < HELD_SHARE || summary.latency.p99 > HELD_P99_MILLISECONDS) {
      break;
    }
    held = requestsPerSecond;
  }
  return held;
}

async function compare(
  paths: Readonly<Record<string, readonly string[]>>,
  rateName: string,
  phase: Omit<Phase, 'targets'>,
): Promise<Record<string, number>> {
  const figures: Record<string, number> = {};
  let direct: load.LatencySummary | undefined;
  for (const [name, targets] of Object.entries(paths)) {
    const summary = await runPhase({ ...phase, targets });
    const { latency } = summary;
    direct ??= latency;
    figures[`${name}${rateName}P50Milliseconds`] = roundFigure(latency.p50);
    figures[`${name}${rateName}P99Milliseconds`] = roundFigure(latency.p99);
    figures[`${name}${rateName}RequestsNotOk`] = summary.requests - summary.count('ok');
    if (latency !== direct) {
      figures[`${name}${rateName}AddedP50Milliseconds`] = roundFigure(latency.p50 - direct.p50);
      figures[`${name}${rateName}AddedP99Milliseconds`] = roundFigure(latency.p99 - direct.p99);
    }
  }
  return figures;
}

async function measureFleet(fleet: LocalFleet, context: MeasurementContext): Promise<Figures> {
  const cell = model.formatCellName('echo', 'region-1', 0);
  const ranked = hashing.rankMembers(cell, fleet.daemons, (daemon) => daemon.name);
  const direct = fleet.backends('echo').servers.map((server) => server.address);
  const paths = {
    direct,
    oneDaemon: ranked.slice(0, 1).map((daemon) => daemon.callerAddress),
    twoHops: ranked.slice(1, 2).map((daemon) => daemon.callerAddress),
  };
  const { seed, print } = context;
  const durationMilliseconds = (context.durationMilliseconds * PHASE_SHARE) / PHASES;
  const low = { seed, durationMilliseconds, requestsPerSecond: LOW_RATE };
  const lowFigures = await compare(paths, 'At200RequestsPerSecond', low);
  const held = await findHeldRate(paths.oneDaemon, seed);
  print(`one daemon holds ${held} requests/s`);
  const high = { seed, durationMilliseconds, requestsPerSecond: Math.max(1, held) };
  const highFigures = await compare(paths, 'AtHeldRate', high);
  return { ...lowFigures, oneDaemonHeldRequestsPerSecond: held, ...highFigures };
}

export const measurement: Measurement = {
  name: 'overhead',
  summary: 'time that one and two daemons add to a request, against a direct connection',
  async run(context) {
    const fleet = await LocalFleet.start({ topology, seed: context.seed });
    try {
      return await measureFleet(fleet, context);
    } finally {
      await fleet.stop();
    }
  },
};
