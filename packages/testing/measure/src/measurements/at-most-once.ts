/**
 * At-most-once execution: callers send keyed requests and resend them through other daemons, at the
 * same moment and later, while one kind of fault at a time disturbs the fleet and the store is away.
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
const LONGEST_PAUSE_MILLISECONDS = 5000;
const STOP_MILLISECONDS = 7000;

/** The phases in their order: the name in figures, and the kinds of faults of the phase. */
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
  readonly ledger: ExchangeLog;
}

/** Returns the daemon that dispatches confirmations and is the home of their keys. */
function findHome(fleet: LocalFleet): string {
  const region = fleet.topology.zones[0]?.region ?? '';
  const cell = model.formatCellName('avaliacao', region, 0);
  const [home] = hashing.rankMembers(cell, fleet.daemons, (daemon) => daemon.name);
  return home?.name ?? '';
}

/**
 * Draws the faults of one phase: each kind once. A crash hits the home of most keys, which is the worst
 * case for what is known afterwards; other faults have drawn targets.
 */
function drawFaults(
  kinds: readonly FaultKind[],
  fleet: LocalFleet,
  durationMilliseconds: number,
  draw: () => number,
): FaultSchedule {
  const daemons = fleet.daemons.map(({ name }) => name);
  const servers = fleet.topology.services
    .filter(({ name }) => name !== 'arquivo')
    .flatMap(({ name }) => fleet.backends(name).servers.map((server) => server.name));
  return kinds.map((fault) => {
    const targets = fault.startsWith('backend') ? servers : daemons;
    const drawnTarget = targets[Math.floor(draw() * targets.length)] ?? '';
    const target = fault === 'daemon-kill' ? findHome(fleet) : drawnTarget;
    const range = LONGEST_PAUSE_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS;
    const drawn = SHORTEST_FAULT_MILLISECONDS + draw() * range;
    const longest = Math.max(SHORTEST_FAULT_MILLISECONDS, durationMilliseconds / 2);
    const length = fault === 'planned-stop' ? STOP_MILLISECONDS : Math.min(drawn, longest);
    return {
      at: Math.round(durationMilliseconds / 6),
      fault,
      target,
      durationMilliseconds: Math.round(length),
    };
  });
}

/** Shares of the requests of a phase by what their callers knew in the end. */
function describePhase(name: string, ledger: ExchangeLog, result: load.LoadResult): Figures {
  const { total } = result.summary;
  const requests = Math.max(1, total.requests);
  const outcomes = { notKnown: 0, refused: 0, unanswered: 0 };
  for (const outcome of ledger.outcomes) {
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
  for (const { ledger } of runs) {
    for (const { reportedExecution, requestId } of ledger.entries) {
      const executed = (executions.requests[requestId ?? ''] ?? 0) > 0;
      falselyNotRunAttempts += reportedExecution === 'not-run' && executed ? 1 : 0;
    }
    for (const [key, entries] of ledger.groupByKey()) {
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
  private readonly rotation: ReadyDaemons;

  private readonly faults: FaultInjector;

  private readonly random;

  constructor(
    private readonly fleet: LocalFleet,
    private readonly context: MeasurementContext,
  ) {
    this.rotation = new ReadyDaemons(fleet.daemons);
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
    this.rotation.start();
    const runs: PhaseRun[] = [];
    for (const [index, phase] of phases.entries()) {
      runs.push(await this.runPhase(index, phase));
    }
    await this.rotation.stop();
    const executions = await this.fleet.readExecutions();
    return this.judge(runs, executions);
  }

  private async runPhase(index: number, phase: (typeof phases)[number]): Promise<PhaseRun> {
    const { seed } = this.context;
    const durationMilliseconds = this.context.durationMilliseconds / phases.length;
    const ledger = new ExchangeLog();
    const draw = (): number => uniformFloat64(this.random);
    const schedule = drawFaults(phase.faults, this.fleet, durationMilliseconds, draw);
    const [result] = await Promise.all([
      load.runLoad({
        targets: this.fleet.daemons.map((daemon) => daemon.callerAddress),
        chooseTarget: this.rotation.choose,
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
        onAttempt: ledger.record,
        onOutcome: ledger.recordOutcome,
      }),
      this.faults.run(schedule, performance.now()),
    ]);
    const targets = schedule.map(({ fault, target }) => `${fault} at ${target}`).join(', ');
    this.context.print(load.formatTextReport(`${phase.name}: ${targets}`, result));
    return { name: phase.name, result, ledger };
  }

  private judge(runs: readonly PhaseRun[], executions: FleetExecutions): Figures {
    const book = new InvariantBook(invariantNames);
    const figures: Record<string, number> = {};
    let keys = 0;
    for (const { name, result, ledger } of runs) {
      ledger.checkKeys(book, executions);
      ledger.checkNotRun(book, executions);
      keys += result.keys.length;
      Object.assign(figures, describePhase(name, ledger, result));
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
