/**
 * Injects the faults of a schedule into a running fleet and records when each fault was active.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as results from '@dogwoodstall/results';
import type * as standIns from '@dogwoodstall/stand-ins';
import type { ControlClient } from '../fleet/control-client.js';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import type { FaultKind, FaultSchedule, ScheduledFault } from './schedule.js';

/** One fault and the time during which it was active, in monotonic milliseconds. */
export interface FaultWindow extends ScheduledFault {
  readonly startedAt: number;
  /** `Infinity` while the fault is active. */
  endedAt: number;
}

/** Options of `FaultInjector`. */
export interface FaultInjectorOptions {
  readonly fleet: LocalFleet;
  /** Keeps sending a request that crashes the backend server, for the duration. */
  readonly sendCrashing: (durationMilliseconds: number) => Promise<void>;
  /** Receives the exit code of each graceful shutdown. */
  readonly onGracefulShutdown: (daemon: string, code: number | null) => void;
}

const SLOW_FACTOR = 20;
const FAIL_SHARE = 0.7;
const FLAP_PERIOD_MILLISECONDS = 600;
const DELAY_MILLISECONDS = 150;
const STORE_DELAY_MILLISECONDS = 800;
const LOST_RESPONSES = 3;
const RESETS = 4;

/** Injects a fault into its target and resolves when the fault has been removed. */
type FaultAction = (target: string, durationMilliseconds: number) => Promise<void>;

/** Injects faults into the daemons, backend servers, links and store of a fleet. */
export class FaultInjector {
  readonly windows: FaultWindow[] = [];

  /** Daemons that the run itself stopped, whose exit is therefore no violation. */
  readonly intentionallyStopped = new Set<string>();

  private readonly actions: Readonly<Record<FaultKind, FaultAction>>;

  constructor(private readonly options: FaultInjectorOptions) {
    const server = (faults: Partial<standIns.BackendFaults>): FaultAction =>
      this.injectServerFault(faults);
    const link = (kind: 'backend' | 'peer', faults: Partial<standIns.LinkFaults>): FaultAction =>
      this.injectLinkFault(kind, faults);
    const store = (faults: Partial<standIns.StoreFaults>): FaultAction =>
      this.injectStoreFault(faults);
    const delays = {
      delayForwardMilliseconds: DELAY_MILLISECONDS,
      delayBackwardMilliseconds: DELAY_MILLISECONDS,
    };
    this.actions = {
      'gray-errors': server({ failShare: FAIL_SHARE }),
      'gray-slow': server({ slowFactor: SLOW_FACTOR }),
      'gray-stall': server({ stalled: true }),
      flapping: server({ failShare: 1, flapPeriodMilliseconds: FLAP_PERIOD_MILLISECONDS }),
      'backend-crash': this.crashServer,
      'backend-refuse': link('backend', { refuse: true }),
      'backend-cut': this.resetConnections('backend'),
      'backend-delay': link('backend', delays),
      'backend-lose-requests': link('backend', { dropForward: true }),
      'backend-lose-answers': link('backend', { dropBackward: true }),
      drain: this.drainServer,
      'crashing-request': (_target, duration) => options.sendCrashing(duration),
      'daemon-kill': this.killDaemon,
      'daemon-pause': this.pauseDaemon,
      'planned-stop': this.shutDownDaemon,
      'peer-lose-requests': link('peer', { dropForward: true }),
      'peer-lose-answers': link('peer', { dropBackward: true }),
      'peer-cut': this.resetConnections('peer'),
      'peer-delay': link('peer', delays),
      'store-away': store({ outage: 'reset' }),
      'store-silent': store({ outage: 'silent' }),
      'store-slow': store({ delayMilliseconds: STORE_DELAY_MILLISECONDS }),
      'store-lost-answers': store({ lostWriteAnswersNext: LOST_RESPONSES }),
    };
  }

  /** Runs a schedule to completion; its times are relative to the monotonic time `startedAt`. */
  async run(schedule: FaultSchedule, startedAt: number): Promise<void> {
    await Promise.all(
      schedule.map(async (fault) => {
        await sleep(Math.max(0, startedAt + fault.at - performance.now()));
        await this.runFault(fault);
      }),
    );
  }

  /** Injects one fault immediately. */
  async runFault(fault: ScheduledFault): Promise<void> {
    const window: FaultWindow = { ...fault, startedAt: performance.now(), endedAt: Infinity };
    this.windows.push(window);
    await this.actions[fault.fault](fault.target, fault.durationMilliseconds);
    window.endedAt = performance.now();
  }

  private findDaemon(name: string): DaemonProcess {
    const daemon = this.options.fleet.daemons.find((candidate) => candidate.name === name);
    if (daemon === undefined) {
      throw new results.FailureError('InternalError', `no daemon "${name}" in this fleet`);
    }
    return daemon;
  }

  private findBackends(server: string): ControlClient {
    const { fleet } = this.options;
    const service = fleet.topology.services.find(({ name }) => server.startsWith(`${name}-`));
    return fleet.backends(service?.name ?? '').control;
  }

  private injectServerFault(faults: Partial<standIns.BackendFaults>): FaultAction {
    return async (target, duration) => {
      const control = this.findBackends(target);
      await control.post('/faults', { servers: [target], faults });
      await sleep(duration);
      await control.post('/faults/clear', { servers: [target] });
    };
  }

  private injectLinkFault(
    kind: 'backend' | 'peer',
    faults: Partial<standIns.LinkFaults>,
  ): FaultAction {
    return async (target, duration) => {
      const links = [`${kind}:${target}`];
      const { fleet } = this.options;
      await fleet.setLinkFaults(links, faults);
      await sleep(duration);
      const none = { dropForward: false, dropBackward: false, refuse: false };
      const delays = { delayForwardMilliseconds: 0, delayBackwardMilliseconds: 0 };
      await fleet.setLinkFaults(links, { ...none, ...delays });
    };
  }

  private resetConnections(kind: 'backend' | 'peer'): FaultAction {
    return async (target, duration) => {
      for (let reset = 0; reset < RESETS; reset += 1) {
        await this.options.fleet.proxy.control.post('/cut', { links: [`${kind}:${target}`] });
        await sleep(duration / RESETS);
      }
    };
  }

  private injectStoreFault(faults: Partial<standIns.StoreFaults>): FaultAction {
    return async (_target, duration) => {
      const { control } = this.options.fleet.store;
      await control.post('/faults', faults);
      await sleep(duration);
      const none = { outage: 'none', delayMilliseconds: 0, lostWriteAnswersNext: 0 };
      await control.post('/faults', none);
    };
  }

  private readonly crashServer: FaultAction = async (target, duration) => {
    const call = { servers: [target], refusalMilliseconds: duration };
    await this.findBackends(target).post('/crash', call);
    await sleep(duration);
  };

  private readonly drainServer: FaultAction = async (target, duration) => {
    const control = this.findBackends(target);
    await control.post('/drain', { servers: [target] });
    await sleep(duration);
    await control.post('/drain', { servers: [target], draining: false });
  };

  private readonly killDaemon: FaultAction = async (target, duration) => {
    const daemon = this.findDaemon(target);
    this.intentionallyStopped.add(target);
    await daemon.kill();
    await sleep(duration);
    await this.restartDaemon(daemon);
  };

  private readonly pauseDaemon: FaultAction = async (target, duration) => {
    const daemon = this.findDaemon(target);
    daemon.pause();
    await sleep(duration);
    daemon.resume();
  };

  private readonly shutDownDaemon: FaultAction = async (target) => {
    const daemon = this.findDaemon(target);
    this.intentionallyStopped.add(target);
    const end = await daemon.stop();
    this.options.onGracefulShutdown(target, end?.code ?? null);
    await this.restartDaemon(daemon);
  };

  private async restartDaemon(daemon: DaemonProcess): Promise<void> {
    await daemon.start();
    await daemon.waitUntilReady();
    this.intentionallyStopped.delete(daemon.name);
  }
}
