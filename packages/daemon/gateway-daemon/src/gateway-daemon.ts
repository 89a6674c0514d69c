/**
 * One gateway daemon with all its roles: it accepts requests of callers, dispatches slots of cells, watches the store
 * and exchanges state with its peers.
 */
import * as datagrams from '@dogwoodstall/datagrams';
import * as gateway from '@dogwoodstall/gateway';
import type * as observability from '@dogwoodstall/observability';
import { Candidates, type DispatcherTarget } from './candidates.js';
import { CellSelector } from './cell-selector.js';
import { DecisionReporter } from './decision-reporter.js';
import { DaemonPorts } from './daemon-ports.js';
import type { DirectorySource } from './directory-source.js';
import { connectOnce } from './connect-once.js';
import { CrashRecordExchange } from './crash-record-exchange.js';
import { CrashRecordStore } from './crash-record-store.js';
import { Directory } from './directory.js';
import { computeConnectionDescriptors } from './descriptor-limit.js';
import { DispatcherClient } from './dispatcher-client.js';
import { DispatcherRole } from './dispatcher-role.js';
import { drainRequests } from './graceful-shutdown.js';
import { MemberTable, createMemberEntry } from './member.js';
import { FleetUsageLimits } from './fleet-usage-limits.js';
import { EndpointPaths } from './endpoint-paths.js';
import { PathAwareSlots } from './path-aware-slots.js';
import type { MetricsSnapshot } from './metrics-server.js';
import { PeerState } from './peer-state.js';
import { PingExchange } from './ping-exchange.js';
import { RetryBudgets } from './retry-budgets.js';
import { RoleAssignment } from './role-assignment.js';
import type { GatewaySettings } from './settings.js';
import { SilentAttempts } from './silent-attempts.js';
import { type SideTask, SideTaskErrors } from './side-task-errors.js';
import { StoreContactTracker } from './store-contact-tracker.js';
import { StoreWatcher } from './store-watcher.js';
import { type Suspension, SuspensionDetector } from './suspension-detector.js';

/** Options of `GatewayDaemon`. */
export interface GatewayDaemonOptions {
  readonly settings: GatewaySettings;
  readonly protocol: gateway.WireProtocol;
  readonly source: DirectorySource;
  readonly log: observability.ProcessLog;
  /** Descriptors that the process may open; `Infinity` if they are not limited. */
  readonly descriptorLimit: number;
}

/** Fraction of the memory limit for buffered request bodies, and for responses. */
const BODY_MEMORY_SHARE = 0.3;
/** The same for both together; the rest is needed by the program and for bodies that are freed or copied. */
const TOTAL_BODY_MEMORY_SHARE = 0.36;
const MEGABYTE = 1_048_576;
/** Connections that may arrive at once at another port, as a fraction of the maximum of callers and endpoints. */
const BURST_SHARE = 0.1;

/** Proxies the HTTP traffic of callers to the endpoints of services. */
export class GatewayDaemon {
  /** Errors of tasks that no request waits for. */
  readonly errors: SideTaskErrors;

  private readonly server: gateway.GatewayServer;

  private readonly connectionLimits: gateway.ConnectionLimits;

  private readonly directory: Directory;

  private readonly members: MemberTable;

  private readonly candidates: Candidates;

  private readonly crashRecords: CrashRecordExchange;

  private readonly crashRecordStore: CrashRecordStore;

  private readonly silentAttempts: SilentAttempts;

  private readonly dispatcherRole: DispatcherRole;

  private readonly retryBudgets: RetryBudgets;

  private readonly usageLimits: FleetUsageLimits;

  private readonly hedging: gateway.Hedging;

  private readonly dispatcherClient: DispatcherClient;

  private readonly datagramSocket: datagrams.DatagramSocket;

  private readonly watcher: StoreWatcher;

  private readonly logger: observability.ComponentLogger;

  private readonly reporter: DecisionReporter;

  private readonly peerState: PeerState;

  private readonly roleAssignment: RoleAssignment;

  private readonly storeContact = new StoreContactTracker();

  private readonly suspension: SuspensionDetector;

  private readonly pingExchange: PingExchange;

  private readonly endpointPaths: EndpointPaths;

  private readonly ports: DaemonPorts;

  /** Number of signals by signal and phase. */
  private readonly signals = new Map<string, number>();

  private malformedCount = 0;

  private stopping: Promise<void> | undefined;

  private closed = false;

  /** The active settings; those that need a restart keep their values from the start. */
  private settings: GatewaySettings;

  constructor(private readonly options: GatewayDaemonOptions) {
    const { settings, log } = options;
    this.settings = settings;
    this.connectionLimits = gateway.computeConnectionLimits(
      computeConnectionDescriptors(settings.limits, options.descriptorLimit),
    );
    this.logger = log.getLogger('daemon');
    this.errors = new SideTaskErrors(this.logger);
    this.reporter = new DecisionReporter(log, settings.log.decisionsPerSecond);
    this.members = new MemberTable(createMemberEntry(settings));
    this.suspension = new SuspensionDetector({
      now: () => performance.now(),
      wallClock: () => Date.now(),
      onResume: (suspension) => this.resume(suspension),
    });
    this.directory = this.createDirectory();
    this.roleAssignment = new RoleAssignment({
      members: this.members,
      directory: this.directory,
      storeContact: this.storeContact,
      retries: () => this.settings.retries,
      candidates: () => this.candidates,
      joinedAt: () => this.peerState.joinedAt,
      isRoleActive: () => this.dispatcherRole.isActive,
      lastStoreContactAt: () => this.watcher.lastContactAt,
      isStoreLost: () => this.watcher.isLost,
    });
    this.crashRecords = new CrashRecordExchange({
      members: this.members,
      send: (message, to) => this.datagramSocket.send(message, to),
      connect: connectOnce,
      onError: this.createErrorHandler('crash-record'),
      onEvent: (event, record) => this.reporter.recordCrash(event, record),
      onEvidence: (record, position) => this.crashRecordStore.update(record, position),
      now: () => performance.now(),
    });
    this.silentAttempts = new SilentAttempts({
      findLifetime: (endpoint) => this.directory.findLifetime(endpoint),
      isLeaving: (endpoint, lifetime) => this.directory.isLeaving(endpoint, lifetime),
      connect: connectOnce,
      onEnded: (attempt) => this.crashRecords.recordSilentEnd(attempt),
      now: () => performance.now(),
    });
    this.crashRecordStore = new CrashRecordStore({
      source: options.source,
      onLoaded: (records) => this.crashRecords.restore(records),
      now: () => performance.now(),
      wallClock: () => Date.now(),
      logger: log.getLogger('store'),
    });
    this.dispatcherRole = new DispatcherRole({
      self: settings.name,
      directory: this.directory,
      crashRecords: this.crashRecords.records,
      limitShare: (cell) => this.roleAssignment.computeLimitShare(this.directory.cells.get(cell)),
      isVerifying: () => this.roleAssignment.isVerifying,
      onDecision: (cell, request, decision) =>
        this.reporter.recordSlotDecision(cell, request, decision),
      onUnused: (cell, endpoints) => this.reporter.recordUnused(cell, endpoints),
      onAnnouncement: (cell, change) => this.reporter.recordAnnouncement(cell, change),
    });
    this.retryBudgets = new RetryBudgets({
      share: (service) => this.roleAssignment.computeRetryBudget(service),
      onState: (service, state, refused) =>
        this.reporter.recordRetryBudget(service, state, refused),
      isObserved: () => this.reporter.metricsServer !== undefined,
      now: () => performance.now(),
    });
    this.usageLimits = this.createUsageLimits();
    this.hedging = new gateway.Hedging({
      settings: () => this.settings.hedging,
      onDecision: (decision) => this.reporter.recordHedge(decision),
      now: () => performance.now(),
    });
    this.peerState = new PeerState({
      members: this.members,
      directory: this.directory,
      source: options.source,
      seeds: () => this.settings.seeds,
      isDispatching: () => this.roleAssignment.isDispatcherOrStandby(),
      isStopping: () => this.closed || this.stopping !== undefined,
      logger: log.getLogger('membership'),
    });
    this.pingExchange = new PingExchange({
      members: this.members,
      directory: this.directory,
      dispatcherRole: this.dispatcherRole,
      roleAssignment: this.roleAssignment,
      peerState: this.peerState,
      candidates: () => this.candidates,
      crashRecords: this.crashRecords,
      send: (message, to) => this.datagramSocket.send(message, to),
    });
    this.datagramSocket = this.createDatagramSocket();
    this.candidates = this.createCandidates();
    this.dispatcherClient = this.createDispatcherClient();
    this.endpointPaths = this.createEndpointPaths();
    this.server = this.createServer();
    this.watcher = new StoreWatcher({
      source: options.source,
      directory: this.directory,
      storeContact: this.storeContact,
      suspension: this.suspension,
      isResponsible: () => this.roleAssignment.isResponsibleForStore(),
      isStandby: () => this.roleAssignment.isStandbyForStore(),
      onCurrent: () => {
        this.roleAssignment.confirmEndpoints();
        this.crashRecordStore.load();
      },
      onLost: () => this.pingExchange.announceToAll(),
      logger: log.getLogger('store'),
    });
    this.ports = new DaemonPorts({
      settings,
      readinessPath: options.protocol.readinessPath,
      burstConnections: Math.floor(this.connectionLimits.maximum * BURST_SHARE),
      errors: this.errors,
      bindDatagrams: (address) => this.datagramSocket.bind(address),
      listenForCallers: (host, port) => this.server.listen(host, port),
      provideState: (request) => this.peerState.provideState(request),
      isReady: () => this.isReady,
      readMetrics: () => this.readMetrics(),
      onMetricsServer: (server) => {
        this.reporter.metricsServer = server;
      },
      logger: this.logger,
    });
  }

  /** Whether the daemon accepts requests of callers. */
  get isReady(): boolean {
    return this.stopping === undefined && this.directory.isComplete;
  }

  /**
   * Binds all ports and starts to serve; throws `ListenFailed` if one stays in use. Returns without having started when
   * `stop` is called meanwhile.
   */
  async start(): Promise<void> {
    await this.ports.bind();
    if (!this.ports.isBound) {
      return;
    }
    const { name, zone } = this.options.settings;
    this.suspension.start();
    this.dispatcherRole.start();
    this.retryBudgets.start();
    this.candidates.start();
    this.watcher.start();
    this.logger.info('daemon has started', {
      name,
      zone,
      seeds: this.settings.seeds,
      milliseconds: Math.round(performance.now()),
      portWaits: Object.fromEntries(this.ports.waitMilliseconds),
    });
    this.logger.info('connections are limited', {
      ...this.connectionLimits,
      descriptors: this.options.settings.limits.descriptors,
      processLimit: this.options.descriptorLimit,
    });
    this.peerState.join().catch((error: unknown) => {
      this.logger.error('joining the fleet failed', { reason: String(error) });
    });
  }

  /** Applies changed seeds, retry budget, limits of hedging and usage, and grace time. All others need a restart. */
  applySettings(settings: GatewaySettings): void {
    const { seeds, retries, hedging, usage, stop } = settings;
    this.settings = { ...this.settings, seeds, retries, hedging, usage, stop };
    this.logger.info('settings are in force', {
      seeds,
      retries,
      hedging,
      usage,
      stop,
      needsRestart: JSON.stringify(settings) !== JSON.stringify(this.settings),
    });
  }

  /** Records a signal that the process received; `milliseconds` is the age of the process at that time. */
  recordSignal(signal: string, milliseconds: number): void {
    const running = this.ports.isBound ? 'running' : 'start';
    const phase = this.stopping === undefined ? running : 'stop';
    const key = JSON.stringify({ signal, phase });
    this.signals.set(key, (this.signals.get(key) ?? 0) + 1);
    const fields = { signal, phase, milliseconds: Math.round(milliseconds) };
    this.logger.info('signal received', fields);
  }

  /** Shuts down gracefully; resolves when the last request has ended or the grace time is nearly over. */
  stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  /** Closes all sockets and timers immediately. */
  close(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.suspension.stop();
    this.watcher.stop();
    this.crashRecordStore.close();
    this.peerState.close();
    this.directory.close();
    this.candidates.stop();
    this.dispatcherRole.stop();
    this.retryBudgets.stop();
    this.usageLimits.close();
    this.dispatcherClient.close();
    this.endpointPaths.close();
    this.datagramSocket.close();
    this.ports.close();
    this.server.close();
    this.reporter.close();
  }

  private createDirectory(): Directory {
    const logger = this.options.log.getLogger('directory');
    return new Directory({
      toleranceEndsAt: () => this.storeContact.toleranceEndsAt,
      onConfiguration: ({ version, routes }, source) => {
        this.hedging.retainRoutes(new Set(routes.map(({ name }) => name)));
        logger.info('configuration is in force', { version, routes: routes.length, source });
        this.usageLimits.update();
        this.pingExchange.announceToAll();
        this.candidates.pingAll();
      },
      onNewEra: (era) => {
        logger.warn('store has lost its latest changes', { era });
        this.candidates.pingAll();
        this.peerState.registerAgain().catch(this.createErrorHandler('registration'));
        this.crashRecordStore.saveAgain();
      },
      onEndpoints: (source) => {
        this.dispatcherRole.updateEndpoints();
        this.pingExchange.announceEndpoints();
        this.silentAttempts.check();
        logger.info('endpoints changed', {
          ...this.directory.position,
          endpoints: this.directory.listAll().length,
          source,
        });
      },
    });
  }

  private createDatagramSocket(): datagrams.DatagramSocket {
    return new datagrams.DatagramSocket({
      onMessage: (message, from) => this.receive(message, from),
      onMalformed: ({ host }) => {
        this.malformedCount += 1;
        this.logger.debug('malformed datagram', { host, count: this.malformedCount });
      },
      onSendError: (error, { host }) =>
        this.logger.debug('sending a datagram failed', { host, reason: error.message }),
      onHandlerError: (error, { host }) => {
        const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
        this.logger.error('handling a datagram failed', { host, reason });
      },
    });
  }

  private createCandidates(): Candidates {
    const logger = this.options.log.getLogger('membership');
    return new Candidates({
      members: this.members,
      listCells: () => this.directory.cells.list(),
      isSelfUsable: () => this.roleAssignment.isSettled() && !this.dispatcherRole.stopping,
      getVersions: () => ({
        configurationVersion: this.directory.configurationVersion,
        directoryRevision: this.directory.position.revision,
        directoryEra: this.directory.position.era,
      }),
      send: (message, target) => this.datagramSocket.send(message, target),
      onChange: (name, responsive) =>
        logger.info(responsive ? 'dispatcher answers' : 'dispatcher does not answer', { name }),
      now: () => performance.now(),
    });
  }

  private createDispatcherClient(): DispatcherClient {
    const { name: self, zone } = this.options.settings;
    return new DispatcherClient({
      zone,
      candidates: this.candidates,
      crashRecords: this.crashRecords,
      onSilence: (attempt) => {
        this.silentAttempts.add(attempt).catch(this.createErrorHandler('crash-record'));
      },
      cells: new CellSelector({
        name: self,
        zone,
        listCells: (service) => this.directory.cells.listOf(service),
        now: () => performance.now(),
        random: Math.random,
      }),
      send: (message, target) => this.datagramSocket.send(message, target),
      local: {
        ask: (ask, respond) => {
          this.suspension.check();
          this.dispatcherRole.ask(self, ask, respond);
        },
        withdraw: (askId) => this.dispatcherRole.withdraw(self, askId),
        report: (report) => this.dispatcherRole.report(report),
      },
      isLeaving: (endpoint, lifetime) => this.directory.isLeaving(endpoint, lifetime),
      onResponse: (cell, response) => this.dispatcherRole.learn(cell, response),
      onHold: (endpoint, announcement) => this.reporter.recordHold(endpoint, announcement),
      onHeld: (endpoint, hold) => this.reporter.recordHeldGrant(endpoint, hold),
      onFailover: ({ name }, cell) =>
        this.options.log.getLogger('entry').warn('dispatcher was passed over', { name, cell }),
    });
  }

  private createEndpointPaths(): EndpointPaths {
    const listAddresses = (service: string): string[] =>
      this.directory.cells
        .listOf(service)
        .flatMap(({ endpoints }) => endpoints.map(({ address }) => address));
    return new EndpointPaths({
      listAddresses,
      connect: connectOnce,
      onError: this.createErrorHandler('endpoint-path'),
      onChange: (service, lost) => {
        this.reporter.recordPath(service, lost);
        // Connections from before the loss may be dead on the other side.
        for (const address of lost ? listAddresses(service) : []) {
          this.server.pool.closeIdle(address);
        }
      },
      now: () => performance.now(),
      random: Math.random,
    });
  }

  private createUsageLimits(): FleetUsageLimits {
    return new FleetUsageLimits({
      members: this.members,
      hasJoined: () => this.peerState.joinedAt !== undefined,
      settings: () => this.settings,
      findRoutes: () => this.directory.routes,
      send: (message, to) => this.datagramSocket.send(message, to),
      onReport: (report) => this.reporter.recordUsage(report),
      onKeeper: (group, keeper) => this.reporter.recordUsageKeeper(group, keeper),
      now: () => performance.now(),
    });
  }

  private createErrorHandler(task: SideTask): (error: unknown) => void {
    return (error) => this.errors.record(task, error);
  }

  private createServer(): gateway.GatewayServer {
    const { protocol, settings, log } = this.options;
    return new gateway.GatewayServer({
      protocol,
      slots: new PathAwareSlots({
        slots: this.dispatcherClient,
        paths: this.endpointPaths,
        self: this.members.self,
        listMembers: () => this.members.list(),
        onRelay: (peer, outcome) => this.reporter.recordRelay(peer, outcome),
        onReportError: this.createErrorHandler('slot-report'),
        now: () => performance.now(),
        random: Math.random,
      }),
      retryBudgets: this.retryBudgets,
      usageLimits: this.usageLimits,
      hedging: this.hedging,
      isDaemon: (host) => this.members.findByHost(host) !== undefined,
      findRoutes: () => (this.directory.isComplete ? this.directory.routes : undefined),
      waitForRoutes: (milliseconds, signal) =>
        this.directory.waitUntilComplete(milliseconds, signal),
      maximumBufferedBytes: settings.limits.memoryMegabytes * MEGABYTE * BODY_MEMORY_SHARE,
      maximumTotalBytes: settings.limits.memoryMegabytes * MEGABYTE * TOTAL_BODY_MEMORY_SHARE,
      connectionLimits: this.connectionLimits,
      onDescriptorEvent: (event, count) => this.reporter.recordDescriptorEvent(event, count),
      onGivenUp: (bytes) => log.getLogger('entry').warn('unread response was given up', { bytes }),
      onRepeatedResponse: () => this.reporter.recordRepeatedResponse(),
      onUnreadableAnnouncement: (endpoint, header) =>
        this.reporter.recordUnreadableAnnouncement(endpoint, header),
      onDecision: (decision) => this.reporter.recordRequest(decision),
      onServerError: (error) => this.errors.record('server', error, { server: 'caller' }),
      onUnexpectedError: (requestId, error) => {
        const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
        log.getLogger('entry').error('request failed unexpectedly', { requestId, reason });
      },
    });
  }

  private readMetrics(): MetricsSnapshot {
    return {
      inFlight: this.server.inFlight,
      connections: this.server.connections,
      endpointConnections: this.server.pool.openConnections,
      maximumConnections: this.connectionLimits.maximum,
      configurationVersion: this.directory.configurationVersion,
      endpoints: this.directory.listAll().length,
      storeAgeMilliseconds: this.roleAssignment.storeAge,
      logLinesLeftOut: this.options.log.linesLeftOut,
      portWaitMilliseconds: this.ports.waitMilliseconds,
      stateFetches: this.peerState.fetchCounts,
      signals: this.signals,
    };
  }

  private resume({ steadyMilliseconds, wallMilliseconds }: Suspension): void {
    this.logger.warn('daemon was suspended', {
      steadyMilliseconds: Math.round(steadyMilliseconds),
      wallMilliseconds: Math.round(wallMilliseconds),
    });
    this.storeContact.resume(steadyMilliseconds);
    this.roleAssignment.beginVerification();
    this.dispatcherRole.resume();
    this.candidates.resume();
  }

  private receive(message: datagrams.Message, from: datagrams.PeerAddress): void {
    this.suspension.check();
    const target: DispatcherTarget = { name: '', isSelf: false, ...from };
    switch (message[0]) {
      case 'ask':
        this.dispatcherRole.ask(from.host, message[1], (response) =>
          this.datagramSocket.send(response, from),
        );
        return;
      case 'withdraw':
        this.dispatcherRole.withdraw(from.host, message[1]);
        return;
      case 'report':
        this.dispatcherRole.report(message[1]);
        this.datagramSocket.send(['acknowledge', message[1].grantId], from);
        return;
      case 'acknowledge':
        this.dispatcherClient.acknowledge(message[1], target);
        return;
      case 'ping':
        this.pingExchange.receivePing(message[1], from);
        return;
      case 'pong':
        this.pingExchange.receivePong(message[1], from);
        return;
      case 'crashes':
        this.crashRecords.receive(message[1], from);
        return;
      case 'borrow':
      case 'lend':
      case 'pledge':
      case 'pledged':
        this.usageLimits.receive(message, from);
        return;
      default:
        this.dispatcherClient.receive(message, target);
    }
  }

  private async stopGracefully(): Promise<void> {
    const aborted = this.ports.abort();
    if (!this.ports.isBound) {
      // No caller has been accepted, so that there is nothing to wait for.
      this.logger.info('daemon stops before it has started');
      await aborted;
      this.close();
      return;
    }
    this.logger.info('daemon stops', { inFlight: this.server.inFlight });
    this.dispatcherRole.beginStop();
    this.usageLimits.beginStop();
    const elapsed = await drainRequests(this.server, this.settings.stop.graceSeconds * 1000);
    this.logger.info('daemon has stopped', {
      inFlight: this.server.inFlight,
      milliseconds: Math.round(elapsed),
    });
    this.close();
  }
}
