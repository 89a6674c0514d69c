/**
 * At-most-once execution: callers send requests with idempotency keys and resend them through other
 * daemons, both concurrently and later, while the store is unavailable and each phase injects the kinds
 * of faults that belong to it.
 */
import * as hashing from '@dogwoodstall/hashing';
import * as load from '@dogwoodstall/load';
import * as model from '@dogwoodstall/model';
import * as standIns from '@dogwoodstall/stand-ins';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { LocalFleet, type FleetExecutions } from '../fleet/local-fleet.js';
import {
  roundFigure,
  type Figures,
  type Measurement,
  type MeasurementContext,
} from '../measurement.js';
import { FaultInjector } from '../randomised/fault-injector.js';
import { InvariantBook, invariantNames } from '../randomised/invariant-book.js';
import { ExchangeLog } from '../randomised/exchange-log.js';
import { ReadyDaemons } from '../randomised/ready-daemons.js';
import type { FaultKind, FaultSchedule } from '../randomised/schedule.js';
import { createRandomisedTopology, keyedClasses } from '../randomised/workload.js';

const REQUESTS_PER_SECOND = 120;
const LONGEST_RESEND_DELAY_MILLISECONDS = 1200;
const SHORTEST_FAULT_MILLISECONDS = 1000;
const LONGEST_FAULT_MILLISECONDS = 5000;
const PLANNED_STOP_MILLISECONDS = 7000;

/** The phases in the order they run: the name in figures, and the kinds of faults to inject. */
const phases: readonly { readonly name: string; readonly faults: readonly FaultKind[] }[] = [
  { name: 'crash', faults: ['daemon-kill'] },
  { name: 'pause', faults: ['daemon-pause'] },
  { name: 'peerLinkOneWay', faults: ['peer-lose-requests', 'peer-lose-answers'] },
  { name: 'backendLinkOneWay', faults: ['backend-lose-requests', 'backend-lose-answers'] },
  { name: 'cutLinks', faults: ['peer-cut', 'backend-cut'] },
  { name: 'delayedLinks', faults: ['peer-delay', 'backend-delay'] },
  { name: 'plannedStop', faults: ['planned-stop'] },
];

interface PhaseRun {
  readonly name: string;
  readonly result: load.LoadResult;
  readonly exchangeLog: ExchangeLog;
}

/** Returns the daemon that dispatches confirmations and holds the records of their keys. */
function findHome(fleet: LocalFleet): string {
  const region = fleet.topology.zones[0]?.region ?? '';
  const cell = model.formatCellName('avaliacao', region, 0);
  const [home] = hashing.rankMembers(cell, fleet.daemons, (daemon) => daemon.name);
  return home?.name ?? '';
}

/**
 * Generates the fault schedule of one phase, with each kind once. A crash hits the daemon that holds the
 * records of most keys, which is the worst case because it loses the most records; other faults hit
 * random targets.
 */
function generateFaults(
  kinds: readonly FaultKind[],
  fleet: LocalFleet,
  durationMilliseconds: number,
  nextRandom: () => number,
): FaultSchedule {
  const daemons = fleet.daemons.map(({ name }) => name);
  const servers = fleet.topology.services
    .filter(({ name }) => name !== 'arquivo')
    .flatMap(({ name }) => fleet.backends(name).servers.map((server) => server.name));
  return kinds.map((fault) => {
    const targets = fault.startsWith('backend') ? servers : daemons;
    const randomTarget = targets[Math.floor(nextRandom() * targets.length)] ?? '';
    const target = fault === 'daemon-kill' ? findHome(fleet) : randomTarget;
    const range = LONGEST_FAULT_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS;
    const randomLength = SHORTEST_FAULT_MILLISECONDS + nextRandom() * range;
    const longest = Math.max(SHORTEST_FAULT_MILLISECONDS, durationMilliseconds / 2);
    const length =
      fault === 'planned-stop' ? PLANNED_STOP_MILLISECONDS : Math.min(randomLength, longest);
    return {
      at: Math.round(durationMilliseconds / 6),
      fault,
      target,
      durationMilliseconds: Math.round(length),
    };
  });
}

/** Returns the shares of the requests of a phase by the outcome that their callers observed. */
function describePhase(name: string, exchangeLog: ExchangeLog, result: load.LoadResult): Figures {
  const { total } = result.summary;
  const requests = Math.max(1, total.requests);
  const outcomes = { notKnown: 0, refused: 0, unanswered: 0 };
  for (const outcome of exchangeLog.outcomes) {
    if (outcome.kind === 'failure') {
      outcomes.notKnown += outcome.reportedExecution === 'not-run' ? 0 : 1;
      outcomes.refused += outcome.reportedExecution === 'not-run' ? 1 : 0;
    } else if (outcome.kind !== 'ok' && outcome.kind !== 'late') {
      outcomes.unanswered += 1;
    }
  }
  const percent = (count: number): number => roundFigure((100 * count) / requests);
  return {
    [`${name}Requests`]: total.requests,
    [`${name}NotKnownPercent`]: percent(outcomes.notKnown),
    [`${name}RefusedPercent`]: percent(outcomes.refused),
    [`${name}UnansweredPercent`]: percent(outcomes.unanswered),
  };
}

function countExecutions(runs: readonly PhaseRun[], executions: FleetExecutions): Figures {
  let falselyNotRunAttempts = 0;
  let falselyNotRunKeys = 0;
  for (const { exchangeLog } of runs) {
    for (const { reportedExecution, requestId } of exchangeLog.entries) {
      const executed = (executions.requests[requestId ?? ''] ?? 0) > 0;
      falselyNotRunAttempts += reportedExecution === 'not-run' && executed ? 1 : 0;
    }
    for (const [key, entries] of exchangeLog.groupByKey()) {
      const denied = entries.every(({ reportedExecution }) => reportedExecution === 'not-run');
      falselyNotRunKeys += denied && (executions.keys[key]?.started ?? 0) > 0 ? 1 : 0;
    }
  }
  const counts = Object.values(executions.keys).map(({ started }) => started);
  return {
    executedKeys: counts.length,
    keysExecutedMoreThanOnce: counts.filter((started) => started > 1).length,
    falselyNotRunKeys,
    falselyNotRunAttempts,
  };
}

class AtMostOnceRun {
  private readonly readyDaemons: ReadyDaemons;

  private readonly faults: FaultInjector;

  private readonly random;

  constructor(
    private readonly fleet: LocalFleet,
    private readonly context: MeasurementContext,
  ) {
    this.readyDaemons = new ReadyDaemons(fleet.daemons);
    this.random = xoroshiro128plus(context.seed);
    this.faults = new FaultInjector({
      fleet,
      sendCrashing: async () => {},
      onGracefulShutdown: (daemon, code) => {
        if (code !== 0) {
          context.fail(`${daemon} ended its planned stop with exit code ${code}`);
        }
      },
    });
  }

  async run(): Promise<Figures> {
    await this.fleet.store.control.post('/faults', { outage: 'reset' });
    this.readyDaemons.start();
    const runs: PhaseRun[] = [];
    for (const [index, phase] of phases.entries()) {
      runs.push(await this.runPhase(index, phase));
    }
    await this.readyDaemons.stop();
    const executions = await this.fleet.readExecutions();
    return this.evaluate(runs, executions);
  }

  private async runPhase(index: number, phase: (typeof phases)[number]): Promise<PhaseRun> {
    const { seed } = this.context;
    const durationMilliseconds = this.context.durationMilliseconds / phases.length;
    const exchangeLog = new ExchangeLog();
    const nextRandom = (): number => uniformFloat64(this.random);
    const schedule = generateFaults(phase.faults, this.fleet, durationMilliseconds, nextRandom);
    const [result] = await Promise.all([
      load.runLoad({
        targets: this.fleet.daemons.map((daemon) => daemon.callerAddress),
        chooseTarget: this.readyDaemons.choose,
        classes: keyedClasses,
        arrivals: 'poisson',
        profile: load.createFlatProfile(REQUESTS_PER_SECOND),
        durationMilliseconds,
        seed: seed * phases.length + index,
        createVerifier: standIns.createVerifier,
        maximumResends: 4,
        sendTwiceShare: 0.3,
        resendCompletedShare: 0.3,
        longestResendDelayMilliseconds: LONGEST_RESEND_DELAY_MILLISECONDS,
        onAttempt: exchangeLog.record,
        onOutcome: exchangeLog.recordOutcome,
      }),
      this.faults.run(schedule, performance.now()),
    ]);
    const targets = schedule.map(({ fault, target }) => `${fault} at ${target}`).join(', ');
    this.context.print(load.formatTextReport(`${phase.name}: ${targets}`, result));
    return { name: phase.name, result, exchangeLog };
  }

  private evaluate(runs: readonly PhaseRun[], executions: FleetExecutions): Figures {
    const book = new InvariantBook(invariantNames);
    const figures: Record<string, number> = {};
    let keys = 0;
    for (const { name, result, exchangeLog } of runs) {
      exchangeLog.checkKeys(book, executions);
      exchangeLog.checkNotRun(book, executions);
      keys += result.keys.length;
      Object.assign(figures, describePhase(name, exchangeLog, result));
    }
    for (const { description } of book.violations) {
      this.context.print(`violated: ${description}`);
    }
    if (book.violations.length > 0) {
      this.context.fail(`seed ${this.context.seed}: ${book.violations.length} violations`);
    }
    return { ...countExecutions(runs, executions), keys, ...figures };
  }
}

export const measurement: Measurement = {
  name: 'at-most-once',
  summary: 'executions of keyed requests that are resent through other daemons under faults',
  defaultSeconds: 42,
  async run(context) {
    const topology = createRandomisedTopology(2, ['peer', 'backend']);
    const settings = { invariants: { stopOnViolation: true } };
    const fleet = await LocalFleet.start({ topology, seed: context.seed, settings });
    try {
      return await new AtMostOnceRun(fleet, context).run();
    } finally {
      await fleet.kill();
    }
  },
};
