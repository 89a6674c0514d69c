/**
 * One randomised run: a fleet with a mixed load, racing operators, a fault schedule and the checks of
 * every invariant from callers' and backend servers' records and from the daemons' logs.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as load from '@dogwoodstall/load';
import * as standIns from '@dogwoodstall/stand-ins';
import { LocalFleet } from '../fleet/local-fleet.js';
import { callAdministration } from './administration.js';
import { sendCrashingRequests } from './crashing-caller.js';
import { DaemonWatch, checkLogLine } from './daemon-watch.js';
import { FaultRunner } from './fault-runner.js';
import { InvariantBook, invariantNames } from './invariant-book.js';
import { Ledger } from './ledger.js';
import { Operators } from './operators.js';
import { Rotation } from './rotation.js';
import { drawSchedule, separatingFaults, type FaultSchedule } from './schedule.js';
import { BALANCER_MILLISECONDS, createProofTopology, mixedClasses } from './workload.js';

const DRAIN_LIMIT_MILLISECONDS = 2000;
const SETTLE_MILLISECONDS = 7500;
const CHANGES_PER_READ = 1000;
const DEFAULT_RATE = 70;
const DAEMONS_PER_ZONE = 2;
const RESEND_DELAY_MILLISECONDS = 800;

/** Options of a run. */
export interface RandomisedOptions {
  readonly seed: number;
  readonly durationMilliseconds: number;
  /** The schedule; drawn from the seed without it. */
  readonly schedule?: FaultSchedule | undefined;
  /** Arguments of Node.js that start a daemon, for broken variants. */
  readonly daemonCommand?: readonly string[] | undefined;
  readonly requestsPerSecond?: number | undefined;
  readonly daemonsPerZone?: number | undefined;
  /** Time after the last fault in which every change must come into force. */
  readonly settleMilliseconds?: number | undefined;
}

/** What a run found. */
export interface RandomisedResult {
  readonly book: InvariantBook;
  readonly schedule: FaultSchedule;
  readonly load: load.LoadResult;
  readonly acceptedChanges: number;
  readonly conflicts: number;
}

class RandomisedRun {
  readonly book = new InvariantBook(invariantNames);

  private readonly ledger = new Ledger();

  private readonly rotation: Rotation;

  private readonly operators: Operators;

  private readonly faults: FaultRunner;

  private readonly watch: DaemonWatch;

  constructor(
    private readonly fleet: LocalFleet,
    private readonly options: RandomisedOptions,
  ) {
    const { daemons } = fleet;
    const { seed } = options;
    this.rotation = new Rotation(daemons);
    this.operators = new Operators({ daemons, seed, organisations: ['sertao', 'cadeaupot'] });
    let turn = 0;
    const chooseAddress = (): string => {
      const { addresses } = this.rotation;
      turn += 1;
      return addresses[turn % addresses.length] ?? fleet.callerAddress;
    };
    this.faults = new FaultRunner({
      fleet,
      sendCrashing: (duration) => sendCrashingRequests(chooseAddress, duration),
      onPlannedStop: (daemon, code) =>
        this.book.check(
          'planned-stop',
          code === 0,
          () => `${daemon} ended its planned stop with exit code ${code}`,
        ),
    });
    this.watch = new DaemonWatch({
      daemons,
      book: this.book,
      endedOnPurpose: this.faults.endedOnPurpose,
      accepted: this.operators.accepted,
      quietSince: () => this.quietSince(),
    });
  }

  async run(): Promise<RandomisedResult> {
    const schedule = this.options.schedule ?? this.drawSchedule();
    this.rotation.start();
    this.watch.start();
    this.operators.start();
    const [loadResult] = await Promise.all([
      this.runLoad(),
      this.faults.run(schedule, performance.now()),
    ]);
    await this.operators.stop();
    await sleep(this.options.settleMilliseconds ?? SETTLE_MILLISECONDS);
    await this.watch.stop();
    await this.rotation.stop();
    await this.checkRecords();
    return {
      book: this.book,
      schedule,
      load: loadResult,
      acceptedChanges: this.operators.accepted.length,
      conflicts: this.operators.conflicts,
    };
  }

  private drawSchedule(): FaultSchedule {
    const { seed, durationMilliseconds } = this.options;
    const services = this.fleet.topology.services.map(({ name }) => name);
    const servers = services.flatMap((service) => this.fleet.backends(service).servers);
    return drawSchedule({
      seed,
      durationMilliseconds,
      daemons: this.fleet.daemons.map(({ name }) => name),
      servers: servers.map(({ name }) => name),
    });
  }

  private runLoad(): Promise<load.LoadResult> {
    const { seed, durationMilliseconds, requestsPerSecond } = this.options;
    return load.runLoad({
      targets: this.fleet.daemons.map((daemon) => daemon.callerAddress),
      chooseTarget: this.rotation.choose,
      classes: mixedClasses,
      arrivals: 'poisson',
      profile: load.createFlatProfile(requestsPerSecond ?? DEFAULT_RATE),
      durationMilliseconds,
      seed,
      createVerifier: standIns.createVerifier,
      sendTwiceShare: 0.2,
      resendCompletedShare: 0.2,
      longestResendDelayMilliseconds: RESEND_DELAY_MILLISECONDS,
      onAttempt: this.ledger.record,
    });
  }

  private quietSince(): number | undefined {
    const windows = this.faults.windows.filter(({ fault }) => separatingFaults.has(fault));
    const last = Math.max(0, ...windows.map(({ endedAt }) => endedAt));
    return last === Infinity ? undefined : last;
  }

  private async checkRecords(): Promise<void> {
    const { book, fleet, ledger } = this;
    // The executions are read when every caller has its last answer, so that late ones are included.
    const executions = await fleet.readExecutions();
    ledger.checkAnswers(book);
    ledger.checkNotRun(book, executions);
    ledger.checkKeys(book, executions);
    ledger.checkStops(book, this.faults.windows, BALANCER_MILLISECONDS, (name) => {
      const daemon = fleet.daemons.find((candidate) => candidate.name === name);
      return daemon?.callerAddress ?? '';
    });
    await this.checkDrains();
    await this.checkHistory();
    for (const daemon of fleet.daemons) {
      await this.watch.poll(daemon);
    }
  }

  private async checkDrains(): Promise<void> {
    for (const { name } of this.fleet.topology.services) {
      const { control } = this.fleet.backends(name);
      const counters = await control.get<Record<string, standIns.BackendCounters>>('/counters');
      for (const [server, counter] of Object.entries(counters)) {
        if (counter.drains > 0) {
          const last = counter.lastArrivalAfterStatementMilliseconds;
          this.book.check(
            'drain',
            last <= DRAIN_LIMIT_MILLISECONDS,
            () => `${server} got work ${Math.round(last)} ms after it stated its drain`,
          );
        }
      }
    }
  }

  /** Every accepted change is in the log at its revision. */
  private async checkHistory(): Promise<void> {
    const [daemon] = this.fleet.daemons;
    const path = `/v1/changes?after=0&limit=${CHANGES_PER_READ}`;
    const answer = daemon && (await callAdministration(daemon, 'GET', path));
    const text = JSON.stringify(answer?.body ?? {});
    for (const change of this.operators.accepted) {
      this.book.check(
        'configuration',
        text.includes(`"${change.id}"`),
        () => `the accepted change ${change.id} of revision ${change.revision} is not in the log`,
      );
    }
  }
}

/** Runs once, with a fleet of its own. */
export async function runRandomised(options: RandomisedOptions): Promise<RandomisedResult> {
  const topology = createProofTopology(options.daemonsPerZone ?? DAEMONS_PER_ZONE, [
    'peer',
    'backend',
    'store',
  ]);
  // Set once the run exists; the daemons log before.
  let book: InvariantBook | undefined;
  const earlyLines: [string, string][] = [];
  const fleet = await LocalFleet.start({
    topology,
    seed: options.seed,
    ...(options.daemonCommand === undefined ? {} : { daemonCommand: options.daemonCommand }),
    settings: { invariants: { stopOnViolation: true } },
    onDaemonLine: (daemon, line) =>
      book === undefined ? earlyLines.push([daemon, line]) : checkLogLine(book, daemon, line),
  });
  try {
    const run = new RandomisedRun(fleet, options);
    ({ book } = run);
    earlyLines.forEach(([daemon, line]) => checkLogLine(run.book, daemon, line));
    return await run.run();
  } finally {
    await fleet.kill();
  }
}
