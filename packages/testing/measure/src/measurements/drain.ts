/**
 * Rolling restart of every daemon by SIGTERM under load, with long uploads in flight. Counts the
 * requests that a graceful shutdown interrupts, and as the baseline those that SIGKILL interrupts.
 */
import * as load from '@dogwoodstall/load';
import * as standIns from '@dogwoodstall/stand-ins';
import { callerTokenOf } from '../fleet/first-change.js';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { LocalFleet } from '../fleet/local-fleet.js';
import type { ExitStatus } from '../fleet/managed-process.js';
import { createExampleTopology } from '../fleet/topology.js';
import {
  roundFigure,
  type Figures,
  type Measurement,
  type MeasurementContext,
} from '../measurement.js';

const REQUESTS_PER_SECOND = 100;
const UPLOAD_BYTES = 1_000_000;
const UPLOAD_MILLISECONDS = 3000;
const SETTLE_MILLISECONDS = 1000;
const LONGEST_LOAD_MILLISECONDS = 60_000;

const classes: readonly load.RequestClass[] = [
  {
    name: 'prices',
    weight: 0.97,
    method: 'GET',
    path: '/prices/1',
    host: 'avaliacao.test',
    organisationToken: callerTokenOf('sertao'),
    idempotent: true,
    deadlineMilliseconds: 2000,
  },
  {
    name: 'upload',
    weight: 0.01,
    method: 'PUT',
    path: '/documents/1',
    host: 'arquivo.test',
    organisationToken: callerTokenOf('sertao'),
    bodyBytes: UPLOAD_BYTES,
    bodyMilliseconds: UPLOAD_MILLISECONDS,
    idempotent: true,
    deadlineMilliseconds: 30_000,
    giveUpMilliseconds: 40_000,
  },
  {
    name: 'confirmation',
    weight: 0.02,
    method: 'POST',
    path: '/confirmations/1',
    host: 'avaliacao.test',
    organisationToken: callerTokenOf('sertao'),
    bodyBytes: 200,
    idempotent: false,
    deadlineMilliseconds: 2000,
  },
];

interface Replacement {
  readonly exitCode: number | null;
  readonly stopMilliseconds: number;
}

/** Stops one daemon: by a graceful shutdown, or by SIGKILL for the baseline. */
type EndDaemon = (daemon: DaemonProcess) => Promise<ExitStatus | undefined>;

async function replaceDaemons(
  fleet: LocalFleet,
  endDaemon: EndDaemon,
  durationMilliseconds: number,
): Promise<Replacement[]> {
  const endAt = performance.now() + durationMilliseconds;
  const replacements: Replacement[] = [];
  for (const daemon of fleet.daemons) {
    if (performance.now() > endAt) {
      break;
    }
    const startedAt = performance.now();
    const end = await endDaemon(daemon);
    const stopMilliseconds = performance.now() - startedAt;
    replacements.push({ exitCode: end?.code ?? null, stopMilliseconds });
    await daemon.start();
    await daemon.waitUntilReady();
    await new Promise((resolve) => {
      setTimeout(resolve, SETTLE_MILLISECONDS);
    });
  }
  return replacements;
}

async function countRepeatedExecutions(fleet: LocalFleet): Promise<number> {
  const { keys } = await fleet.readExecutions();
  return Object.values(keys).filter((executions) => executions.started > 1).length;
}

async function replaceUnderLoad(
  fleet: LocalFleet,
  context: MeasurementContext,
  prefix: string,
  endDaemon: EndDaemon,
): Promise<Figures> {
  const durationMilliseconds = context.durationMilliseconds / 2;
  // Stops the load once the last daemon is replaced.
  const finished = new AbortController();
  const running = load.runLoad({
    targets: [fleet.callerAddress],
    classes,
    arrivals: 'poisson',
    profile: load.createFlatProfile(REQUESTS_PER_SECOND),
    durationMilliseconds: LONGEST_LOAD_MILLISECONDS,
    seed: context.seed,
    createVerifier: standIns.createVerifier,
    signal: finished.signal,
  });
  const [result, replacements] = await Promise.all([
    running,
    replaceDaemons(fleet, endDaemon, durationMilliseconds).finally(() => finished.abort()),
  ]);
  context.print(load.formatTextReport(`replacement by ${prefix}`, result));
  const { total, classes: byClass } = result.summary;
  const uploads = byClass.get('upload');
  const failedExits = replacements.filter(({ exitCode }) => exitCode !== 0);
  const stopTimes = replacements.map(({ stopMilliseconds }) => stopMilliseconds);
  const figures: Figures = {
    replacedDaemons: replacements.length,
    failedExits: failedExits.length,
    longestStopMilliseconds: roundFigure(Math.max(0, ...stopTimes)),
    requests: total.requests,
    cutRequests: total.count('cut') + total.count('truncated') + total.count('foreign'),
    unansweredRequests: total.count('no-answer') + total.count('gave-up'),
    failedRequests: total.count('failure'),
    uploads: uploads?.requests ?? 0,
    completeUploads: (uploads?.count('ok') ?? 0) + (uploads?.count('late') ?? 0),
    repeatedKeys: await countRepeatedExecutions(fleet),
  };
  const named = Object.entries(figures).map(([name, value]) => {
    const capitalised = `${name.charAt(0).toUpperCase()}${name.slice(1)}`;
    return [`${prefix}${capitalised}`, value];
  });
  return Object.fromEntries(named) as Figures;
}

async function measureFleet(fleet: LocalFleet, context: MeasurementContext): Promise<Figures> {
  const planned = await replaceUnderLoad(fleet, context, 'planned', (daemon) => daemon.stop());
  const killed = await replaceUnderLoad(fleet, context, 'killed', (daemon) => daemon.kill());
  return { ...planned, ...killed };
}

export const measurement: Measurement = {
  name: 'drain',
  summary: 'requests cut by the planned replacement of every daemon, with long uploads in flight',
  async run(context) {
    const topology = createExampleTopology();
    const fleet = await LocalFleet.start({ topology, seed: context.seed });
    try {
      return await measureFleet(fleet, context);
    } finally {
      await fleet.stop();
    }
  },
};
