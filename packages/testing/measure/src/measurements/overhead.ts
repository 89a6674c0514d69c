/**
 * Latency and CPU time that daemons add to a request: through one daemon that dispatches it itself and
 * through two, compared with a direct connection with the same seed and load; at 200 requests/s, at a
 * higher rate, and at the highest sustained rate. The last two are repeated with a log line for each
 * decision.
 */
import * as load from '@dogwoodstall/load';
import * as standIns from '@dogwoodstall/stand-ins';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { findDispatcher } from '../fleet/dispatcher-search.js';
import { callerTokenOf } from '../fleet/first-change.js';
import { LocalFleet } from '../fleet/local-fleet.js';
import { readCpuMicroseconds } from '../fleet/process-usage.js';
import type { Topology } from '../fleet/topology.js';
import {
  roundFigure,
  type Figures,
  type Measurement,
  type MeasurementContext,
} from '../measurement.js';

const LOW_RATE = 200;
// Two rates separate the CPU time per request from the fixed CPU time of a process.
const HIGH_RATE = 1000;
const FIRST_SEARCH_RATE = 500;
const SEARCH_FACTOR = 1.5;
const HIGHEST_SEARCH_RATE = 20_000;
const SEARCH_STEP_MILLISECONDS = 500;
// Excludes JIT compilation, which slows the first thousands of requests of a new process, and connection
// set-up, which slows the first requests of a phase.
const COMPILATION_RATE = 1200;
const COMPILATION_MILLISECONDS = 3000;
const WARM_UP_MILLISECONDS = 400;
// A rate is sustained if 99.9% of the requests succeed and the p99 latency is at most 50 ms.
const SUSTAINED_SUCCESS_SHARE = 0.999;
const SUSTAINED_P99_MILLISECONDS = 50;
// A p99 needs about a thousand requests, so the phases at the low rate get most of the time.
const LOW_PHASE_SHARE = 0.16;
const HIGH_PHASE_SHARE = 0.05;

const topology: Topology = {
  zones: [{ name: 'zone-a', region: 'region-1' }],
  daemonsPerZone: 2,
  services: [
    {
      name: 'echo',
      organisation: 'measurement',
      serverCount: 4,
      // 4 servers of 16 slots form a single dispatch cell, so that one daemon dispatches every request.
      slots: 16,
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

interface RequestPaths {
  readonly direct: readonly string[];
  readonly dispatcher: DaemonProcess;
  /** A daemon that forwards every request to the dispatcher. */
  readonly entry: DaemonProcess;
}

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
  return result.summary.total;
}

async function findSustainedRate(target: string, seed: number): Promise<number> {
  let sustained = 0;
  for (let rate = FIRST_SEARCH_RATE; rate <= HIGHEST_SEARCH_RATE; rate *= SEARCH_FACTOR) {
    const summary = await runPhase({
      targets: [target],
      requestsPerSecond: Math.round(rate),
      durationMilliseconds: SEARCH_STEP_MILLISECONDS,
      seed,
    });
    const share = summary.count('ok') / Math.max(1, summary.requests);
    if (share < SUSTAINED_SUCCESS_SHARE || summary.latency.p99 > SUSTAINED_P99_MILLISECONDS) {
      break;
    }
    sustained = Math.round(rate);
  }
  return sustained;
}

function describeLatency(
  name: string,
  summary: load.Summary,
  direct: load.LatencySummary | undefined,
): Figures {
  const { p50, p99 } = summary.latency;
  const figures: Record<string, number> = {
    [`${name}P50Milliseconds`]: roundFigure(p50),
    [`${name}P99Milliseconds`]: roundFigure(p99),
    [`${name}RequestsNotOk`]: summary.requests - summary.count('ok'),
  };
  if (direct !== undefined) {
    figures[`${name}AddedP50Milliseconds`] = roundFigure(p50 - direct.p50);
    figures[`${name}AddedP99Milliseconds`] = roundFigure(p99 - direct.p99);
    figures[`${name}ToDirectP50Ratio`] = roundFigure(p50 / direct.p50);
    figures[`${name}ToDirectP99Ratio`] = roundFigure(p99 / direct.p99);
  }
  return figures;
}

async function runWithCpu(
  name: string,
  daemons: Readonly<Record<string, DaemonProcess>>,
  phase: Phase,
): Promise<{ summary: load.Summary; figures: Figures }> {
  const before = new Map<string, number>();
  for (const [role, daemon] of Object.entries(daemons)) {
    before.set(role, await readCpuMicroseconds(daemon.processId));
  }
  const summary = await runPhase(phase);
  const milliseconds = WARM_UP_MILLISECONDS + phase.durationMilliseconds;
  const requests = (phase.requestsPerSecond * milliseconds) / 1000;
  const figures: Record<string, number> = {};
  for (const [role, daemon] of Object.entries(daemons)) {
    const used = (await readCpuMicroseconds(daemon.processId)) - (before.get(role) ?? 0);
    figures[`${name}${role}CpuMicrosecondsPerRequest`] = roundFigure(used / requests);
  }
  return { summary, figures };
}

async function compareAtRate(
  paths: RequestPaths,
  name: string,
  phase: Omit<Phase, 'targets'>,
  withDirect: boolean,
): Promise<Figures> {
  const { dispatcher, entry } = paths;
  const direct = withDirect ? await runPhase({ ...phase, targets: paths.direct }) : undefined;
  const one = await runWithCpu(
    `${name}OneDaemon`,
    { BothRoles: dispatcher },
    { ...phase, targets: [dispatcher.callerAddress] },
  );
  const two = await runWithCpu(
    `${name}TwoHops`,
    { EntryRole: entry, DispatcherRole: dispatcher },
    { ...phase, targets: [entry.callerAddress] },
  );
  return {
    ...(direct && describeLatency(`${name}Direct`, direct, undefined)),
    ...describeLatency(`${name}OneDaemon`, one.summary, direct?.latency),
    ...one.figures,
    ...describeLatency(`${name}TwoHops`, two.summary, direct?.latency),
    ...two.figures,
  };
}

async function findRequestPaths(fleet: LocalFleet): Promise<RequestPaths> {
  const dispatcher = await findDispatcher(fleet, requestClass);
  const entry = fleet.daemons.find((daemon) => daemon !== dispatcher) ?? dispatcher;
  const direct = fleet.backends('echo').servers.map((server) => server.address);
  return { direct, dispatcher, entry };
}

async function measureFleet(
  fleet: LocalFleet,
  context: MeasurementContext,
  withLowRate: boolean,
): Promise<Figures> {
  const paths = await findRequestPaths(fleet);
  const { seed, print } = context;
  for (const { callerAddress } of [paths.dispatcher, paths.entry]) {
    await runPhase({
      targets: [callerAddress],
      requestsPerSecond: COMPILATION_RATE,
      durationMilliseconds: COMPILATION_MILLISECONDS,
      seed,
    });
  }
  const lowMilliseconds = context.durationMilliseconds * LOW_PHASE_SHARE;
  const highMilliseconds = context.durationMilliseconds * HIGH_PHASE_SHARE;
  const low = { seed, durationMilliseconds: lowMilliseconds, requestsPerSecond: LOW_RATE };
  const high = { seed, durationMilliseconds: highMilliseconds, requestsPerSecond: HIGH_RATE };
  const lowFigures = withLowRate
    ? await compareAtRate(paths, `at${LOW_RATE}PerSecond`, low, true)
    : {};
  const highFigures = await compareAtRate(paths, `at${HIGH_RATE}PerSecond`, high, false);
  const heldRequestsPerSecond = await findSustainedRate(paths.dispatcher.callerAddress, seed);
  const heldTwoHopsRequestsPerSecond = await findSustainedRate(paths.entry.callerAddress, seed);
  print(`one daemon sustains ${heldRequestsPerSecond} requests/s`);
  print(`two daemons in series sustain ${heldTwoHopsRequestsPerSecond} requests/s`);
  // A changed dispatcher means that the measured paths were not those named in the figures.
  const last = await findRequestPaths(fleet);
  const dispatcherChanges = last.dispatcher === paths.dispatcher ? 0 : 1;
  return {
    ...lowFigures,
    ...highFigures,
    heldRequestsPerSecond,
    heldTwoHopsRequestsPerSecond,
    dispatcherChanges,
  };
}

async function measureVariant(
  decisionShare: number,
  context: MeasurementContext,
): Promise<Figures> {
  const settings = { log: { format: 'json' as const, decisionShare } };
  const fleet = await LocalFleet.start({ topology, seed: context.seed, settings });
  try {
    context.print(`share of decision lines: ${decisionShare}`);
    const figures = await measureFleet(fleet, context, decisionShare === 0);
    const named = Object.entries(figures).map(([name, value]) => [
      `decisionShare${decisionShare}${name[0]?.toUpperCase()}${name.slice(1)}`,
      value,
    ]);
    return decisionShare === 0 ? figures : (Object.fromEntries(named) as Figures);
  } finally {
    // Skips the graceful shutdown, which takes three seconds.
    await Promise.all(fleet.daemons.map((daemon) => daemon.kill()));
    await fleet.stop();
  }
}

export const measurement: Measurement = {
  name: 'overhead',
  summary: 'time and CPU that one and two daemons add to a request, against a direct connection',
  async run(context) {
    return { ...(await measureVariant(0, context)), ...(await measureVariant(1, context)) };
  },
};
