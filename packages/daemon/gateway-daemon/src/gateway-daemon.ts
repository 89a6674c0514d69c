/**
 * One daemon for transparent traffic: entry, dispatcher, watcher of the store and peer.
 */
import * as datagrams from '@dogwoodstall/datagrams';
import * as gateway from '@dogwoodstall/gateway';
import type * as observability from '@dogwoodstall/observability';
import { Candidates, type DispatcherTarget } from './candidates.js';
import { CellChoice } from './cell-choice.js';
import { DecisionReporter } from './decision-reporter.js';
import { Directory } from './directory.js';
import { DispatchDuty } from './dispatch-duty.js';
import { DispatcherLink } from './dispatcher-link.js';
import { DispatcherRole } from './dispatcher-role.js';
import { MemberTable, STORE_DUTY, describeMember } from './member.js';
import { MetricsPage, type MetricsReadings } from './metrics-page.js';
import { PeerState } from './peer-state.js';
import { PingExchange } from './ping-exchange.js';
import { waitForLastRequest } from './planned-stop.js';
import { ReadinessPage } from './readiness-page.js';
import { type GatewaySettings, splitAddress } from './settings.js';
import type { DirectorySource } from './sources.js';
import { StatePage } from './state-page.js';
import { StoreNews } from './store-news.js';
import { StoreWatcher } from './store-watcher.js';

/** Options of `GatewayDaemon`. */
export interface GatewayDaemonOptions {
  readonly settings: GatewaySettings;
  readonly protocol: gateway.WireProtocol;
  readonly source: DirectorySource;
  readonly log: observability.ProcessLog;
}

/** Part of the memory for request bodies. */
const HELD_SHARE_OF_MEMORY = 0.3;
const MEGABYTE = 1_048_576;

/** A daemon that serves transparent traffic. */
export class GatewayDaemon {
  private readonly server: gateway.GatewayServer;

  private readonly directory: Directory;

  private readonly members: MemberTable;

  private readonly candidates: Candidates;

  private readonly role: DispatcherRole;

  private readonly link: DispatcherLink;

  private readonly port: datagrams.DatagramPort;

  private readonly watcher: StoreWatcher;

  private readonly statePage: StatePage;

  private readonly readinessPage: ReadinessPage;

  private readonly logger: observability.PartLogger;

  private readonly reporter: DecisionReporter;

  private readonly peerState: PeerState;

  private readonly duty: DispatchDuty;

  private readonly news = new StoreNews();

  private readonly pings: PingExchange;

  private malformed = 0;

  private stopped: Promise<void> | undefined;

  private closed = false;

  /** The settings in force; what only counts at the start stays as it was. */
  private settings: GatewaySettings;

  constructor(private readonly options: GatewayDaemonOptions) {
    const { settings, log } = options;
    this.settings = settings;
    this.logger = log.part('daemon');
    this.reporter = new DecisionReporter(log, settings.log.decisionsPerSecond);
    this.members = new MemberTable(describeMember(settings));
    this.directory = this.createDirectory();
    this.duty = new DispatchDuty({
      members: this.members,
      directory: this.directory,
      news: this.news,
      retries: () => this.settings.retries,
      candidates: () => this.candidates,
      joinedAt: () => this.peerState.joinedAt,
      isRoleActive: () => this.role.isActive,
      lastStoreContactAt: () => this.watcher.lastContactAt,
      isStoreLost: () => this.watcher.isLost,
    });
    this.role = new DispatcherRole({
      self: settings.name,
      directory: this.directory,
      retryBudget: (cell) => this.duty.findRetryBudget(this.directory.describeCell(cell)),
      onDecision: (cell, request, decision) => this.reporter.noteSlot(cell, request, decision),
    });
    this.peerState = new PeerState({
      members: this.members,
      directory: this.directory,
      source: options.source,
      seeds: () => this.settings.seeds,
      isDispatching: () => this.duty.isDispatching(),
      isStopping: () => this.closed || this.stopped !== undefined,
      logger: log.part('membership'),
    });
    this.pings = new PingExchange({
      members: this.members,
      directory: this.directory,
      role: this.role,
      duty: this.duty,
      peerState: this.peerState,
      candidates: () => this.candidates,
      send: (message, to) => this.port.send(message, to),
    });
    this.port = this.createPort();
    this.candidates = this.createCandidates();
    this.link = this.createLink();
    this.server = this.createServer();
    this.watcher = new StoreWatcher({
      source: options.source,
      directory: this.directory,
      news: this.news,
      isResponsible: () => this.duty.isResponsibleForStore(),
      onLost: () => this.pings.announceToAll(),
      logger: log.part('store'),
    });
    this.statePage = new StatePage((request) => this.peerState.answerState(request));
    this.readinessPage = new ReadinessPage(options.protocol.readinessPath, () => this.isReady);
  }

  /** Whether the daemon takes callers. */
  get isReady(): boolean {
    return this.stopped === undefined && this.directory.isComplete;
  }

  /** Binds every port and begins to serve; throws `ListenFailed`. */
  async start(): Promise<void> {
    const { listen, name, zone } = this.options.settings;
    const caller = splitAddress(listen.caller);
    const readiness = splitAddress(listen.readiness);
    const peer = splitAddress(listen.peer);
    await this.port.bind({ host: peer.host, port: listen.datagramPort });
    await this.statePage.listen(peer.host, peer.port);
    await this.readinessPage.listen(readiness.host, readiness.port);
    await this.server.listen(caller.host, caller.port);
    if (listen.metricsPort !== undefined) {
      this.reporter.metricsPage = await MetricsPage.create(() => this.readMetrics());
      await this.reporter.metricsPage.listen(peer.host, listen.metricsPort);
    }
    this.role.start();
    this.candidates.start();
    this.watcher.start();
    this.logger.info('daemon has started', { name, zone, seeds: this.options.settings.seeds });
    this.peerState.join().catch((error: unknown) => {
      this.logger.error('joining the fleet ended', { reason: String(error) });
    });
  }

  /** Puts changed settings in force: seeds, retry budget and grace time. Names, ports and limits need a restart. */
  applySettings(settings: GatewaySettings): void {
    const { seeds, retries, stop } = settings;
    this.settings = { ...this.settings, seeds, retries, stop };
    this.logger.info('settings are in force', {
      seeds,
      retries,
      stop,
      needsRestart: JSON.stringify(settings) !== JSON.stringify(this.settings),
    });
  }

  /** Performs a planned stop; resolves when the last request ended or the grace time is over. */
  stop(): Promise<void> {
    this.stopped ??= this.stopPlanned();
    return this.stopped;
  }

  /** Closes everything at once. */
  close(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.watcher.stop();
    this.peerState.close();
    this.candidates.stop();
    this.role.stop();
    this.link.close();
    this.port.close();
    this.statePage.close();
    this.readinessPage.close();
    this.server.close();
    this.reporter.close();
  }

  private createDirectory(): Directory {
    const logger = this.options.log.part('directory');
    return new Directory({
      onConfiguration: ({ version, routes }, source) => {
        logger.info('configuration is in force', { version, routes: routes.length, source });
        this.pings.announceToAll();
        this.candidates.pingAll();
      },
      onEndpoints: (source) => {
        this.role.updateEndpoints();
        this.pings.announceEndpoints();
        logger.info('endpoints changed', {
          revision: this.directory.endpointRevision,
          endpoints: this.directory.listAll().length,
          source,
        });
      },
    });
  }

  private createPort(): datagrams.DatagramPort {
    return new datagrams.DatagramPort({
      onMessage: (message, from) => this.receive(message, from),
      onMalformed: ({ host }) => {
        this.malformed += 1;
        this.logger.debug('datagram holds no message', { host, count: this.malformed });
      },
      onSendError: (error, { host }) =>
        this.logger.debug('datagram was not sent', { host, reason: error.message }),
    });
  }

  private createCandidates(): Candidates {
    const logger = this.options.log.part('membership');
    return new Candidates({
      members: this.members,
      listDuties: () => [STORE_DUTY, ...this.directory.listCells()],
      listCells: () => this.directory.listCells(),
      isSelfAble: () => this.duty.isSettled() && !this.role.stopping,
      describeKnowledge: () => ({
        configurationVersion: this.directory.configurationVersion,
        directoryRevision: this.directory.endpointRevision,
      }),
      send: (message, target) => this.port.send(message, target),
      onChange: (name, responsive) =>
        logger.info(responsive ? 'dispatcher answers' : 'dispatcher does not answer', { name }),
    });
  }

  private createLink(): DispatcherLink {
    const { name: self, zone } = this.options.settings;
    return new DispatcherLink({
      zone,
      candidates: this.candidates,
      cells: new CellChoice({
        name: self,
        zone,
        listCells: (service) => this.directory.listCellsOf(service),
        now: () => performance.now(),
        random: Math.random,
      }),
      send: (message, target) => this.port.send(message, target),
      local: {
        ask: (ask, tell) => this.role.ask(self, ask, tell),
        withdraw: (askId) => this.role.withdraw(self, askId),
        report: (report) => this.role.report(report),
      },
      onPassOver: ({ name }, cell) =>
        this.options.log.part('entry').warn('dispatcher was passed over', { name, cell }),
    });
  }

  private createServer(): gateway.GatewayServer {
    const { protocol, settings, log } = this.options;
    return new gateway.GatewayServer({
      protocol,
      slots: this.link,
      findRoutes: () => (this.directory.isComplete ? this.directory.routes : undefined),
      waitForRoutes: (milliseconds) => this.directory.waitUntilComplete(milliseconds),
      maximumBufferedBytes: settings.limits.memoryMegabytes * MEGABYTE * HELD_SHARE_OF_MEMORY,
      onDecision: (decision) => this.reporter.noteRequest(decision),
      onUnexpectedError: (requestId, error) => {
        const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
        log.part('entry').error('request failed unexpectedly', { requestId, reason });
      },
    });
  }

  private readMetrics(): MetricsReadings {
    return {
      inFlight: this.server.inFlight,
      connections: this.server.connections,
      configurationVersion: this.directory.configurationVersion,
      endpoints: this.directory.listAll().length,
      storeAgeMilliseconds: this.duty.storeAge,
    };
  }

  private receive(message: datagrams.Message, from: datagrams.PeerAddress): void {
    const target: DispatcherTarget = { name: '', isSelf: false, ...from };
    switch (message[0]) {
      case 'ask':
        this.role.ask(from.host, message[1], (answer) => this.port.send(answer, from));
        return;
      case 'withdraw':
        this.role.withdraw(from.host, message[1]);
        return;
      case 'report':
        this.role.report(message[1]);
        this.port.send(['acknowledge', message[1].grantId], from);
        return;
      case 'acknowledge':
        this.link.acknowledge(message[1], target);
        return;
      case 'ping':
        this.pings.receivePing(message[1], from);
        return;
      case 'pong':
        this.pings.receivePong(message[1], from);
        return;
      default:
        this.link.receive(message, target);
    }
  }

  private async stopPlanned(): Promise<void> {
    this.logger.info('daemon stops', { inFlight: this.server.inFlight });
    this.role.beginStop();
    this.server.beginStop();
    const elapsed = await waitForLastRequest(this.server, this.settings.stop.graceSeconds * 1000);
    this.logger.info('daemon has stopped', {
      inFlight: this.server.inFlight,
      milliseconds: Math.round(elapsed),
    });
    this.close();
  }
}
