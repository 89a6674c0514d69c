/**
 * One randomised run: a fleet under mixed load, concurrent operators and a fault schedule. Every invariant
 * is checked from the records of callers and backend servers and from the daemons' logs and status.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as load from '@dogwoodstall/load';
import * as standIns from '@dogwoodstall/stand-ins';
import { LocalFleet } from '../fleet/local-fleet.js';
import { callAdministration } from './administration.js';
import { sendCrashingRequests } from './crashing-caller.js';
import { DaemonMonitor, checkLogLine } from './daemon-monitor.js';
import { FaultInjector } from './fault-injector.js';
import { InvariantBook, invariantNames } from './invariant-book.js';
import { ExchangeLog } from './exchange-log.js';
import { Operators } from './operators.js';
import { ReadyDaemons } from './ready-daemons.js';
import { drawSchedule, isolatingFaults, type FaultSchedule } from './schedule.js';
import { BALANCER_MILLISECONDS, createRandomisedTopology, mixedClasses } from './workload.js';

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
  /** Fault schedule; generated from the seed by default. */
  readonly schedule?: FaultSchedule | undefined;
  /** Arguments of Node.js that start a daemon; broken variants replace them. */
  readonly daemonCommand?: readonly string[] | undefined;
  readonly requestsPerSecond?: number | undefined;
  readonly daemonsPerZone?: number | undefined;
  /** Time after load and faults have ended, in which every change must become active. */
  readonly settleMilliseconds?: number | undefined;
}

/** Result of a run. */
export interface RandomisedResult {
  readonly book: InvariantBook;
  readonly schedule: FaultSchedule;
  readonly load: load.LoadResult;
  readonly acceptedChanges: number;
  readonly conflicts: number;
}

class RandomisedRun {
  readonly book = new InvariantBook(invariantNames);

  private readonly exchanges = new ExchangeLog();

  private readonly readyDaemons: ReadyDaemons;

  private readonly operators: Operators;

  private readonly faults: FaultInjector;

  private readonly monitor: DaemonMonitor;

  constructor(
    private readonly fleet: LocalFleet,
    private readonly options: RandomisedOptions,
  ) {
    const { daemons } = fleet;
    const { seed } = options;
    this.readyDaemons = new ReadyDaemons(daemons);
    this.operators = new Operators({ daemons, seed, organisations: ['sertao', 'cadeaupot'] });
    let turn = 0;
    const chooseAddress = (): string => {
      const { addresses } = this.readyDaemons;
      turn += 1;
      return addresses[turn % addresses.length] ?? fleet.callerAddress;
    };
    this.faults = new FaultInjector({
      fleet,
      sendCrashing: (duration) => sendCrashingRequests(chooseAddress, duration),
      onGracefulShutdown: (daemon, code) =>
        this.book.check(
          'planned-stop',
          code === 0,
          () => `${daemon} exited with code ${code} after a graceful shutdown`,
        ),
    });
    this.monitor = new DaemonMonitor({
      daemons,
      book: this.book,
      intentionallyStopped: this.faults.intentionallyStopped,
      accepted: this.operators.accepted,
      connectedSince: () => this.connectedSince(),
    });
  }

  async run(): Promise<RandomisedResult> {
    const schedule = this.options.schedule ?? this.drawSchedule();
    this.readyDaemons.start();
    this.monitor.start();
    this.operators.start();
    const [loadResult] = await Promise.all([
      this.runLoad(),
      this.faults.run(schedule, performance.now()),
    ]);
    await this.operators.stop();
    await sleep(this.options.settleMilliseconds ?? SETTLE_MILLISECONDS);
    await this.monitor.stop();
    await this.readyDaemons.stop();
    await this.checkInvariants();
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
      chooseTarget: this.readyDaemons.choose,
      classes: mixedClasses,
      arrivals: 'poisson',
      profile: load.createFlatProfile(requestsPerSecond ?? DEFAULT_RATE),
      durationMilliseconds,
      seed,
      createVerifier: standIns.createVerifier,
      sendTwiceShare: 0.2,
      resendCompletedShare: 0.2,
      longestResendDelayMilliseconds: RESEND_DELAY_MILLISECONDS,
      onAttempt: this.exchanges.record,
    });
  }

  private connectedSince(): number | undefined {
    const windows = this.faults.windows.filter(({ fault }) => isolatingFaults.has(fault));
    const last = Math.max(0, ...windows.map(({ endedAt }) => endedAt));
    return last === Infinity ? undefined : last;
  }

  private async checkInvariants(): Promise<void> {
    const { book, fleet, exchanges } = this;
    // The executions are read after the last response, so that late ones are included.
    const executions = await fleet.readExecutions();
    exchanges.checkResponses(book);
    exchanges.checkNotRun(book, executions);
    exchanges.checkKeys(book, executions);
    exchanges.checkGracefulShutdowns(book, this.faults.windows, BALANCER_MILLISECONDS, (name) => {
      const daemon = fleet.daemons.find((candidate) => candidate.name === name);
      return daemon?.callerAddress ?? '';
    });
    await this.checkDrains();
    await this.checkHistory();
    for (const daemon of fleet.daemons) {
      await this.monitor.poll(daemon);
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
            () =>
              `${server} received a request ${Math.round(last)} ms after it announced its drain`,
          );
        }
      }
    }
  }

  /** Checks that every accepted change is in the change log. */
  private async checkHistory(): Promise<void> {
    const [daemon] = this.fleet.daemons;
    const path = `/v1/changes?after=0&limit=${CHANGES_PER_READ}`;
    const response = daemon && (await callAdministration(daemon, 'GET', path));
    const text = JSON.stringify(response?.body ?? {});
    for (const change of this.operators.accepted) {
      this.book.check(
        'configuration',
        text.includes(`"${change.id}"`),
        () => `the accepted change ${change.id} of revision ${change.revision} is not in the log`,
      );
    }
  }
}

/** Starts a fleet, runs the load and the faults against it, and kills it. */
export async function runRandomised(options: RandomisedOptions): Promise<RandomisedResult> {
  const topology = createRandomisedTopology(options.daemonsPerZone ?? DAEMONS_PER_ZONE, [
    'peer',
    'backend',
    'store',
  ]);
  // Daemons log before the run exists; these lines are checked afterwards.
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
