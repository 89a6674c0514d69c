/**
 * A daemon with all its roles, its start and its graceful shutdown.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as administrationApi from '@dogwoodstall/administration-api';
import * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type * as settings from '@dogwoodstall/settings';
import { createAdministration } from './administration.js';
import { ControlPlane } from './control-plane.js';
import { CrashReports } from './crash-reports.js';
import { DrainTracker } from './drain-tracker.js';
import { READY_CONDITION } from './fleet-view.js';
import { readFleetKeys, readKeyPair, readPeerTls } from './credentials.js';
import { RecordTransferCoordinator } from './record-transfer-coordinator.js';
import { RequestPlane } from './request-plane.js';

/**
 * Time for the other daemons to receive the announcement that this one is leaving and which daemon holds
 * its idempotency keys now, before it refuses dispatch work and exits. Twice the time that an update needs
 * to reach a fleet of 810 daemons.
 */
const LEAVE_PROPAGATION_MILLISECONDS = 3000;

/** Longest wait for other members before a daemon that has a configuration accepts requests. */
const JOIN_TIMEOUT_MILLISECONDS = 2000;
const JOIN_CHECK_INTERVAL_MILLISECONDS = 50;

/** Options of `startDaemon`. */
export interface DaemonOptions {
  readonly log: observability.ProcessLog;
}

interface Credentials {
  readonly peerTls: Awaited<ReturnType<typeof readPeerTls>>;
  readonly callerTls: Awaited<ReturnType<typeof readKeyPair>> | undefined;
  readonly fleetKeys: readonly Uint8Array[];
}

async function readCredentials(daemonSettings: settings.Settings): Promise<Credentials> {
  const { peerTls, callerTls, fleet } = daemonSettings;
  return {
    peerTls: await readPeerTls(peerTls),
    callerTls: callerTls && (await readKeyPair(callerTls)),
    fleetKeys: await readFleetKeys(fleet.keyFiles),
  };
}

/** Runs all roles of one daemon. */
export class Daemon {
  private readonly control: ControlPlane;

  private readonly requests: RequestPlane;

  private readonly recordTransfer: RecordTransferCoordinator;

  private readonly crashReports: CrashReports;

  private readonly drainTracker: DrainTracker;

  private readonly administration: administrationApi.AdministrationApi;

  private readonly metrics: observability.Metrics;

  private readonly logger: observability.ComponentLogger;

  private ready = false;

  private stopPromise: Promise<void> | undefined;

  constructor(
    private readonly settings: settings.Settings,
    options: DaemonOptions,
    credentials: Credentials,
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
      peerTls: credentials.peerTls,
      forward: (request, response) => {
        this.requests.receiver.handle(request, response).catch(() => response.destroy());
      },
    });
    this.requests = new RequestPlane({
      settings,
      log,
      metrics: this.metrics,
      control: this.control,
      fleetKeys: credentials.fleetKeys,
      callerTls: credentials.callerTls,
      isReady: () => this.ready,
      onCrashSuspected: () => this.crashReports.send(),
      findSuccessor: () => this.recordTransfer.findSuccessor(),
      onCompletedAfterSeal: (message) => this.recordTransfer.sendCompletion(message),
    });
    const { members, links } = this.control;
    this.recordTransfer = new RecordTransferCoordinator({
      keyHome: this.requests.keyHome,
      members,
      links,
      logger: log.getLogger('idempotency'),
    });
    this.crashReports = new CrashReports({ guard: this.requests.guard, members, links });
    this.drainTracker = new DrainTracker({
      name: settings.name,
      registry: this.requests.registry,
      view: this.requests.view,
      links,
      findConfiguration: () => this.control.configurationSynchroniser.current,
      logger: log.getLogger('dispatch'),
    });
    this.control.registerHandlers({
      ...this.recordTransfer.handlers,
      ...this.crashReports.handlers,
      ...this.drainTracker.handlers,
    });
    this.administration = createAdministration({
      settings,
      log,
      control: this.control,
      requests: this.requests,
    });
  }

  /** Binds every port and starts all roles; throws `ListenFailed`. */
  async start(): Promise<void> {
    this.observeMembers();
    this.observeVmList();
    this.observeConfigurations();
    await this.control.start();
    await this.requests.listen();
    await this.administration.listen();
    this.crashReports.start();
    this.drainTracker.start();
    this.becomeReady().catch((error: unknown) => {
      this.logger.error('daemon could not become ready', { reason: String(error) });
    });
  }

  /** Reloads certificates and keys without interrupting connections. */
  async reload(): Promise<void> {
    const credentials = await readCredentials(this.settings);
    this.control.reload(credentials.peerTls);
    this.requests.reload(credentials.fleetKeys, credentials.callerTls);
    await this.administration.reloadTls();
    this.logger.info('certificates and keys were read again');
  }

  /** Shuts the daemon down gracefully; resolves when the last request has ended. */
  stop(): Promise<void> {
    this.stopPromise ??= this.stopGracefully();
    return this.stopPromise;
  }

  private async becomeReady(): Promise<void> {
    const { configurationSynchroniser, members } = this.control;
    const joinDeadline = performance.now() + JOIN_TIMEOUT_MILLISECONDS;
    while (this.stopPromise === undefined) {
      const joined = members.members().length > 1 || performance.now() > joinDeadline;
      if (configurationSynchroniser.current !== undefined && joined) {
        this.ready = true;
        members.announceCondition(READY_CONDITION);
        this.requests.view.clearRanking();
        this.logger.info('daemon is ready', {
          revision: configurationSynchroniser.current.revision,
          members: members.members().length,
        });
        return;
      }
      await delay(JOIN_CHECK_INTERVAL_MILLISECONDS);
    }
  }

  private observeConfigurations(): void {
    this.control.configurationSynchroniser.configurations
      .observe((configuration) => this.requests.updateConfiguration(configuration))
      .catch((error: unknown) => {
        this.logger.error('configuration could not be applied', { reason: String(error) });
      });
  }

  private observeMembers(): void {
    this.control.members.changes
      .observe((members) => {
        this.requests.view.clearRanking();
        this.markLostOrigins(members.map((member) => member.incarnation));
      })
      .catch((error: unknown) => {
        this.logger.error('membership change could not be processed', { reason: String(error) });
      });
  }

  // When a daemon disappears after it transferred its records, no daemon can report the outcomes of the
  // requests that it was still running.
  private markLostOrigins(liveIncarnations: readonly number[]): void {
    const liveOrigins = new Set(liveIncarnations.map(String));
    for (const incarnation of this.requests.keyHome.activeIncarnations) {
      if (!liveOrigins.has(incarnation)) {
        this.requests.keyHome.markOriginLost(incarnation);
      }
    }
  }

  // The platform's VM list also marks VMs of backend servers as leaving.
  private observeVmList(): void {
    this.control.machines.changes
      .observe((machines) => {
        for (const machine of machines) {
          const server = this.control.configurationSynchroniser.current?.backendServers.get(
            machine.name,
          );
          if (machine.state === 'leaving' && server !== undefined) {
            this.requests.registry.markDraining(server.name);
          }
        }
      })
      .catch((error: unknown) => {
        this.logger.error('change of the VM list could not be processed', {
          reason: String(error),
        });
      });
  }

  private async stopGracefully(): Promise<void> {
    const { members } = this.control;
    this.requests.entry.beginStop();
    members.announceCondition('stopping');
    await members.leave();
    // Until the other daemons know the new key home, this one forwards requests with its keys to it.
    await this.recordTransfer.run();
    await delay(LEAVE_PROPAGATION_MILLISECONDS);
    this.requests.receiver.refusing = true;
    await this.requests.entry.whenIdle();
    await this.recordTransfer.whenSent();
    // A request may have arrived on the peer port while the last record was sent.
    await this.requests.entry.whenIdle();
    await this.close();
    this.logger.info('daemon has stopped');
  }

  /** Closes every port and connection immediately; `stop` shuts down gracefully. */
  async close(): Promise<void> {
    this.crashReports.stop();
    this.drainTracker.stop();
    await this.requests.close();
    await this.administration.close();
    await this.control.stop();
    this.metrics.close();
  }
}

function observeViolations(daemonSettings: settings.Settings, log: observability.ProcessLog): void {
  const logger = log.getLogger('invariant');
  const { stopOnViolation } = daemonSettings.invariants;
  results.setViolationListener((violation) => {
    const { number } = results.findResult(violation.kind);
    logger.error('invariant violated', { result: number, ...violation });
    if (stopOnViolation) {
      // Deferred so that the log line is written before the uncaught error ends the process.
      setImmediate(() => {
        throw new results.FailureError(violation.kind, violation.message);
      });
    }
  });
}

/**
 * Starts a daemon; resolves when its ports are bound. The daemon accepts requests as soon as it has an
 * active configuration.
 *
 * Throws `KeyFileInvalid` or `ListenFailed`.
 */
export async function startDaemon(
  daemonSettings: settings.Settings,
  options: DaemonOptions,
): Promise<Daemon> {
  observeViolations(daemonSettings, options.log);
  const daemon = new Daemon(daemonSettings, options, await readCredentials(daemonSettings));
  try {
    await daemon.start();
  } catch (error) {
    await daemon.close();
    throw error;
  }
  return daemon;
}
