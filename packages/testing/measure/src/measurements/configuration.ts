/**
 * The time from the acceptance of a change until it is active in each daemon, each zone and the whole
 * fleet, under faults. Baseline: a fleet in which each daemon receives changes only by its own store
 * watch.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import * as load from '@dogwoodstall/load';
import { ChangeWriter } from '../control/change-writer.js';
import { ConfigurationPhases, type AcceptedChange } from '../control/configuration-phases.js';
import {
  startControlFleet,
  stopControlFleet,
  storeWatchDaemonCommand,
  targetZones,
} from '../control/fleets.js';
import { RevisionLog } from '../control/revision-log.js';
import { SeededRandom } from '../control/seeded-random.js';
import { callerTokenOf } from '../fleet/first-change.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { type Figures, type Measurement, type MeasurementContext } from '../measurement.js';

const DAEMONS_PER_ZONE = 6;
const REQUESTS_PER_SECOND = 30;
const LONGEST_LOAD_MILLISECONDS = 300_000;
const LAST_CHANGE_TIMEOUT_MILLISECONDS = 10_000;
const PHASES = 5;
const PRODUCT_SHARE = 0.6;
// Smaller, because the baseline has no phase with faults of peer links.
const BASELINE_SHARE = 0.25;
const QUANTILES = { Median: 50, P99: 99 } as const;

function startLoad(fleet: LocalFleet, seed: number, signal: AbortSignal): Promise<load.LoadResult> {
  return load.runLoad({
    targets: [fleet.callerAddress],
    classes: [
      {
        name: 'prices',
        weight: 1,
        method: 'GET',
        path: '/prices/1',
        host: 'avaliacao.test',
        organisationToken: callerTokenOf('sertao'),
        idempotent: true,
        deadlineMilliseconds: 2000,
      },
    ],
    arrivals: 'poisson',
    profile: load.createFlatProfile(REQUESTS_PER_SECOND),
    durationMilliseconds: LONGEST_LOAD_MILLISECONDS,
    seed,
    signal,
  });
}

function computeQuantile(milliseconds: readonly number[], percentile: number): number {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  milliseconds.forEach((value) => histogram.recordValue(Math.round(value)));
  return histogram.getValueAtPercentile(percentile);
}

function summariseTimes(name: string, milliseconds: readonly number[]): Figures {
  const figures: Record<string, number> = {};
  for (const [quantile, percentile] of Object.entries(QUANTILES)) {
    figures[`${name}${quantile}Milliseconds`] = computeQuantile(milliseconds, percentile);
  }
  figures[`${name}WorstMilliseconds`] = Math.max(0, ...milliseconds);
  return figures;
}

function describePropagation(
  prefix: string,
  accepted: readonly AcceptedChange[],
  log: RevisionLog,
): Figures {
  const everywhere = new Map<string, number[]>();
  const zones: number[] = [];
  const byZone = new Map<string, number[]>();
  let missing = 0;
  for (const { phase, submission } of accepted) {
    const propagation = log.findPropagation(submission.revision, submission.answeredAt);
    missing += propagation.missing.length > 0 ? 1 : 0;
    let latest = 0;
    for (const [zone, times] of propagation.byZone) {
      const time = Math.max(...times);
      zones.push(time);
      byZone.set(zone, [...(byZone.get(zone) ?? []), time]);
      latest = Math.max(latest, time);
    }
    everywhere.set(phase, [...(everywhere.get(phase) ?? []), latest]);
  }
  const figures: Figures[] = [
    summariseTimes(`${prefix}Everywhere`, [...everywhere.values()].flat()),
    summariseTimes(`${prefix}OneZone`, zones),
  ];
  for (const [phase, times] of everywhere) {
    const phaseName = `${prefix}${phase[0]?.toUpperCase()}${phase.slice(1)}`;
    figures.push({ [`${phaseName}Changes`]: times.length });
    figures.push(summariseTimes(`${phaseName}Everywhere`, times));
  }
  const slowestZone = Math.max(
    ...[...byZone.values()].map((times) => computeQuantile(times, QUANTILES.P99)),
  );
  return Object.assign({ [`${prefix}SlowestZoneP99Milliseconds`]: slowestZone }, ...figures, {
    [`${prefix}NeverInForceChanges`]: missing,
  }) as Figures;
}

async function runPhases(phases: ConfigurationPhases, milliseconds: number): Promise<void> {
  const phaseMilliseconds = milliseconds / PHASES;
  await phases.runWithoutFaults(phaseMilliseconds);
  await phases.runOutages(phaseMilliseconds);
  await phases.runLostResponses(phaseMilliseconds);
  await phases.runPartition(phaseMilliseconds);
  await phases.runRestarts(phaseMilliseconds);
}

async function measureFleet(
  prefix: string,
  fleet: LocalFleet,
  context: MeasurementContext,
  milliseconds: number,
  peersProxied: boolean,
): Promise<Figures> {
  const { seed } = context;
  const log = new RevisionLog(fleet.daemons);
  const random = new SeededRandom(seed);
  const writer = new ChangeWriter(prefix, random);
  const phases = new ConfigurationPhases({ fleet, writer, random, log, peersProxied });
  const finished = new AbortController();
  const runningLoad = startLoad(fleet, seed, finished.signal);
  await runPhases(phases, milliseconds);
  finished.abort();
  const { summary } = await runningLoad;
  const last = Math.max(...phases.accepted.map(({ submission }) => submission.revision));
  const giveUpAt = performance.now() + LAST_CHANGE_TIMEOUT_MILLISECONDS;
  while (log.getLowestRevision() < last && performance.now() < giveUpAt) {
    await delay(50);
  }
  const everywhere = log.getLowestRevision() >= last;
  await log.stop();
  const figures: Figures = {
    ...describePropagation(prefix, phases.accepted, log),
    [`${prefix}Daemons`]: fleet.daemons.length,
    [`${prefix}AcceptedChanges`]: phases.accepted.length,
    [`${prefix}LostChanges`]: await phases.countLost(),
    [`${prefix}LastChangeEverywhere`]: everywhere ? 1 : 0,
    [`${prefix}Reversions`]: log.countReversions(),
    [`${prefix}Conflicts`]: phases.counts.conflicts,
    [`${prefix}DoubleAcceptances`]: phases.counts.doubleAcceptances,
    [`${prefix}RefusedSubmissions`]: phases.counts.failures,
    [`${prefix}Requests`]: summary.total.requests,
    [`${prefix}UnsuccessfulRequests`]: summary.total.requests - summary.total.count('ok'),
  };
  context.print(JSON.stringify(figures));
  return figures;
}

async function measureVariant(
  prefix: string,
  context: MeasurementContext,
  milliseconds: number,
  daemonCommand?: readonly string[],
): Promise<Figures> {
  const isProduct = daemonCommand === undefined;
  const fleet = await startControlFleet({
    seed: context.seed,
    daemonsPerZone: DAEMONS_PER_ZONE,
    zoneCount: targetZones.length,
    ...(isProduct ? { proxied: ['peer'] } : { daemonCommand }),
  });
  try {
    return await measureFleet(prefix, fleet, context, milliseconds, isProduct);
  } finally {
    await stopControlFleet(fleet);
  }
}

export const measurement: Measurement = {
  name: 'configuration',
  summary:
    'time until accepted changes are in force in every zone, under faults of store and links',
  async run(context) {
    const { durationMilliseconds } = context;
    const productMilliseconds = durationMilliseconds * PRODUCT_SHARE;
    const product = await measureVariant('product', context, productMilliseconds);
    const baselineMilliseconds = durationMilliseconds * BASELINE_SHARE;
    const baseline = await measureVariant(
      'ownWatch',
      context,
      baselineMilliseconds,
      storeWatchDaemonCommand,
    );
    return { ...product, ...baseline };
  },
};
