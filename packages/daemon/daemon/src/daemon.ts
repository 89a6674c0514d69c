/**
 * One daemon: all roles, its start and its planned stop.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as administrationApi from '@dogwoodstall/administration-api';
import * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type * as settings from '@dogwoodstall/settings';
import { createAdministration } from './administration.js';
import { ControlPlane } from './control-plane.js';
import { CrashReports } from './crash-reports.js';
import { DrainSigns } from './drain-signs.js';
import { READY_CONDITION } from './fleet-view.js';
import { readFleetKeys, readKeyPair, readPeerTls } from './key-material.js';
import { RecordsTransfer } from './records-transfer.js';
import { RequestPlane } from './request-plane.js';

/**
 * Time for other daemons to learn that this one is leaving and where its keys live now, before it refuses
 * their dispatch work and ends. Twice the time that an update needs through a fleet of 810.
 */
const LEAVE_SPREAD_MILLISECONDS = 3000;

/** Longest wait for other members before a daemon that knows its configuration takes work. */
const JOIN_MILLISECONDS = 2000;
const JOIN_CHECK_MILLISECONDS = 50;

/** Options of `startDaemon`. */
export interface DaemonOptions {
  readonly log: observability.ProcessLog;
}

interface Material {
  readonly peerTls: Awaited<ReturnType<typeof readPeerTls>>;
  readonly callerTls: Awaited<ReturnType<typeof readKeyPair>> | undefined;
  readonly fleetKeys: readonly Uint8Array[];
}

async function readMaterial(daemonSettings: settings.Settings): Promise<Material> {
  const { peerTls, callerTls, fleet } = daemonSettings;
  return {
    peerTls: await readPeerTls(peerTls),
    callerTls: callerTls && (await readKeyPair(callerTls)),
    fleetKeys: await readFleetKeys(fleet.keyFiles),
  };
}

/** A daemon that serves. */
export class Daemon {
  private readonly control: ControlPlane;

  private readonly requests: RequestPlane;

  private readonly transfer: RecordsTransfer;

  private readonly crashReports: CrashReports;

  private readonly drainSigns: DrainSigns;

  private readonly administration: administrationApi.AdministrationApi;

  private readonly metrics: observability.Metrics;

  private readonly logger: observability.ComponentLogger;

  private ready = false;

  private stopped: Promise<void> | undefined;

  constructor(
    private readonly settings: settings.Settings,
    options: DaemonOptions,
    material: Material,
  ) {
    const { log } = options;
    this.logger = log.getLogger('daemon');
    this.metrics = observability.createMetrics({
      ...settings.metrics,
      tags: { daemon: settings.name, zone: settings.zone },
    });
    this.control = new ControlPlane({
      settings,
      log,
      peerTls: material.peerTls,
      forward: (request, response) => {
        this.requests.receiver.handle(request, response).catch(() => response.destroy());
      },
    });
    this.requests = new RequestPlane({
      settings,
      log,
      metrics: this.metrics,
      control: this.control,
      fleetKeys: material.fleetKeys,
      callerTls: material.callerTls,
      isReady: () => this.ready,
      onCrashSuspicion: () => this.crashReports.send(),
      findSuccessor: () => this.transfer.findSuccessor(),
      onCompletedAfterSeal: (message) => this.transfer.complete(message),
    });
    const { members, links } = this.control;
    this.transfer = new RecordsTransfer({
      keyHome: this.requests.keyHome,
      members,
      links,
      logger: log.getLogger('idempotency'),
    });
    this.crashReports = new CrashReports({ guard: this.requests.guard, members, links });
    this.drainSigns = new DrainSigns({
      name: settings.name,
      registry: this.requests.registry,
      view: this.requests.view,
      links,
      findConfiguration: () => this.control.keeper.current,
      logger: log.getLogger('dispatch'),
    });
    this.control.register({
      ...this.transfer.handlers,
      ...this.crashReports.handlers,
      ...this.drainSigns.handlers,
    });
    this.administration = createAdministration({
      settings,
      log,
      control: this.control,
      requests: this.requests,
    });
  }

  /** Binds every port and begins to serve; throws `ListenFailed`. */
  async start(): Promise<void> {
    this.followMembers();
    this.followMachines();
    this.followConfigurations();
    await this.control.start();
    await this.requests.listen();
    await this.administration.listen();
    this.crashReports.start();
    this.drainSigns.start();
    this.becomeReady().catch((error: unknown) => {
      this.logger.error('daemon can not become ready', { reason: String(error) });
    });
  }

  /** Reads certificates and keys again, without interrupting a connection. */
  async reload(): Promise<void> {
    const material = await readMaterial(this.settings);
    this.control.reload(material.peerTls);
    this.requests.reload(material.fleetKeys, material.callerTls);
    await this.administration.reloadTls();
    this.logger.info('certificates and keys were read again');
  }

  /** Performs a planned stop; resolves when the last request ended. */
  stop(): Promise<void> {
    this.stopped ??= this.stopPlanned();
    return this.stopped;
  }

  private async becomeReady(): Promise<void> {
    const { keeper, members } = this.control;
    const joinUntil = performance.now() + JOIN_MILLISECONDS;
    while (this.stopped === undefined) {
      const joined = members.members().length > 1 || performance.now() > joinUntil;
      if (keeper.current !== undefined && joined) {
        this.ready = true;
        members.announceCondition(READY_CONDITION);
        this.requests.view.forgetRanking();
        this.logger.info('daemon is ready', {
          revision: keeper.current.revision,
          members: members.members().length,
        });
        return;
      }
      await delay(JOIN_CHECK_MILLISECONDS);
    }
  }

  private followConfigurations(): void {
    this.control.keeper.configurations
      .observe((configuration) => this.requests.updateConfiguration(configuration))
      .catch((error: unknown) => {
        this.logger.error('configuration could not be put in force', { reason: String(error) });
      });
  }

  private followMembers(): void {
    this.control.members.changes
      .observe((members) => {
        this.requests.view.forgetRanking();
        this.forgetLostOrigins(members.map((member) => member.incarnation));
      })
      .catch((error: unknown) => {
        this.logger.error('members could not be followed', { reason: String(error) });
      });
  }

  // A request that ran at a daemon which disappeared after it had handed its records over has no
  // outcome that anybody could still report.
  private forgetLostOrigins(live: readonly number[]): void {
    const known = new Set(live.map(String));
    for (const incarnation of this.requests.keyHome.activeIncarnations) {
      if (!known.has(incarnation)) {
        this.requests.keyHome.markOriginLost(incarnation);
      }
    }
  }

  // The platform's list may also name VMs of backend servers that leave.
  private followMachines(): void {
    this.control.machines.changes
      .observe((machines) => {
        for (const machine of machines) {
          const server = this.control.keeper.current?.backendServers.get(machine.name);
          if (machine.state === 'leaving' && server !== undefined) {
            this.requests.registry.markDraining(server.name);
          }
        }
      })
      .catch((error: unknown) => {
        this.logger.error('list of VMs could not be followed', { reason: String(error) });
      });
  }

  private async stopPlanned(): Promise<void> {
    const { members } = this.control;
    this.requests.entry.beginStop();
    members.announceCondition('stopping');
    await members.leave();
    // Until the others know the new home, requests with keys of this one are passed on to it.
    await this.transfer.run();
    await delay(LEAVE_SPREAD_MILLISECONDS);
    this.requests.receiver.refusing = true;
    await this.requests.entry.whenIdle();
    await this.transfer.whenSent();
    // A request may have arrived on the peer port while the last record was sent.
    await this.requests.entry.whenIdle();
    await this.close();
    this.logger.info('daemon has stopped');
  }

  /** Closes every port and connection at once; a planned stop uses `stop`. */
  async close(): Promise<void> {
    this.crashReports.stop();
    this.drainSigns.stop();
    await this.requests.close();
    await this.administration.close();
    await this.control.stop();
    this.metrics.close();
  }
}

function followViolations(daemonSettings: settings.Settings, log: observability.ProcessLog): void {
  const logger = log.getLogger('invariant');
  const { stopOnViolation } = daemonSettings.invariants;
  results.setViolationListener((violation) => {
    const { number } = results.findResult(violation.kind);
    logger.error('invariant violated', { result: number, ...violation });
    if (stopOnViolation) {
      // The log line is written before the uncaught error ends the process.
      setImmediate(() => {
        throw new results.FailureError(violation.kind, violation.message);
      });
    }
  });
}

/**
 * Starts a daemon; resolves when its ports are bound. It takes work as soon as it knows a configuration
 * that is in force.
 *
 * Throws `KeyFileInvalid` or `ListenFailed`.
 */
export async function startDaemon(
  daemonSettings: settings.Settings,
  options: DaemonOptions,
): Promise<Daemon> {
  followViolations(daemonSettings, options.log);
  const daemon = new Daemon(daemonSettings, options, await readMaterial(daemonSettings));
  try {
    await daemon.start();
  } catch (error) {
    await daemon.close();
    throw error;
  }
  return daemon;
}
