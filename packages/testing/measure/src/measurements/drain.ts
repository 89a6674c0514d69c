/**
 * Rolling replacement of every daemon by SIGTERM under load, with long uploads in flight. Counts the
 * requests that a planned stop cut off.
 */
import * as load from '@dogwoodstall/load';
import * as standIns from '@dogwoodstall/stand-ins';
import { callerTokenOf } from '../fleet/first-change.js';
import { LocalFleet } from '../fleet/local-fleet.js';
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

async function replaceDaemons(fleet: LocalFleet): Promise<Replacement[]> {
  const replacements: Replacement[] = [];
  for (const daemon of fleet.daemons) {
    const startedAt = performance.now();
    const end = await daemon.stop();
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

async function measureFleet(fleet: LocalFleet, context: MeasurementContext): Promise<Figures> {
  // The load ends when the last daemon was replaced, or when the time is over.
  const finished = new AbortController();
  const running = load.runLoad({
    targets: [fleet.callerAddress],
    classes,
    arrivals: 'poisson',
    profile: load.createFlatProfile(REQUESTS_PER_SECOND),
    durationMilliseconds: context.durationMilliseconds,
    seed: context.seed,
    createVerifier: standIns.createVerifier,
    signal: finished.signal,
  });
  const [result, replacements] = await Promise.all([
    running,
    replaceDaemons(fleet).finally(() => finished.abort()),
  ]);
  const stops = replacements.map(({ stopMilliseconds }) => stopMilliseconds);
  context.print(load.formatTextReport('drain', result));
  const { total, classes: byClass } = result.book;
  return {
    replaced_daemons: replacements.length,
    failed_exits_daemons: replacements.filter(({ exitCode }) => exitCode !== 0).length,
    longest_stop_ms: roundFigure(Math.max(...stops)),
    requests: total.requests,
    cut_requests: total.count('cut') + total.count('foreign'),
    unanswered_requests: total.count('no-answer') + total.count('gave-up'),
    failed_requests: total.count('failure'),
    upload_requests: byClass.get('upload')?.requests ?? 0,
    complete_upload_requests:
      (byClass.get('upload')?.count('ok') ?? 0) + (byClass.get('upload')?.count('late') ?? 0),
    repeated_executions_keys: await countRepeatedExecutions(fleet),
  };
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
