/**
 * One daemon for transparent traffic: entry, dispatcher, watcher of the store and peer.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as datagrams from '@dogwoodstall/datagrams';
import * as gateway from '@dogwoodstall/gateway';
import type * as grants from '@dogwoodstall/grants';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import { Candidates, type DispatcherTarget } from './candidates.js';
import { DecisionLog } from './decision-log.js';
import { Directory, type State } from './directory.js';
import { DispatcherLink } from './dispatcher-link.js';
import { DispatcherRole } from './dispatcher-role.js';
import { type Member, MemberTable } from './member.js';
import { MetricsPage, type MetricsReadings } from './metrics-page.js';
import { ReadinessPage } from './readiness-page.js';
import { type GatewaySettings, splitAddress } from './settings.js';
import type { DirectorySource } from './sources.js';
import { StatePage, type StateRequest, requestState } from './state-page.js';
import { StoreWatcher } from './store-watcher.js';

/** Options of `GatewayDaemon`. */
export interface GatewayDaemonOptions {
  readonly settings: GatewaySettings;
  readonly contract: gateway.WireContract;
  readonly source: DirectorySource;
  readonly log: observability.ProcessLog;
}

/** Part of the memory for request bodies. */
const HELD_SHARE_OF_MEMORY = 0.3;
const MEGABYTE = 1_048_576;
/** Daemons that start together have all written their entries by then. */
const JOIN_PAUSE_MILLISECONDS = 700;
const JOIN_CALL_MILLISECONDS = 700;
const JOIN_RETRY_MILLISECONDS = 800;
/** A daemon that started just now does not dispatch, because it has no evidence about endpoints yet. */
const SETTLE_MILLISECONDS = 1500;
/** Without an answer of a dispatcher for this long after the start, there is none. */
const ALONE_MILLISECONDS = 450;
/** Entries without a dispatcher's work to do fetch changes of the endpoints at this interval. */
const LAZY_FETCH_MILLISECONDS = 2000;
/**
 * Without news from the store for this long, further daemons ask it themselves, one after the other. Longer than the
 * longest time between two answers of a store in which nothing changes.
 */
const STORE_NEWS_MILLISECONDS = 1800;
const STORE_NEWS_STEP_MILLISECONDS = 1500;
const STORE_RANKING = 'store';
/** Daemons that rank first for a service use its whole retry budget; each other one a small part. */
const DISPATCHING_RANKS = 2;
const OTHER_BUDGET_SHARE = 0.3;
/**
 * Time after SIGTERM for which requests are taken: until the balancer has taken the daemon out of rotation, by two
 * readiness checks and a connection on its way. A request that came later could outlast the process.
 */
const TAKING_MILLISECONDS = 2900;
const EXIT_BEFORE_END_MILLISECONDS = 250;
const STOP_CHECK_MILLISECONDS = 50;

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

  private metricsPage: MetricsPage | undefined;

  private readonly logger: observability.PartLogger;

  private readonly decisions: { readonly entry: DecisionLog; readonly dispatch: DecisionLog };

  private readonly startedAt = performance.now();

  private storeNewsAt = performance.now();

  private fetching = false;

  private lastFetchAt = -Infinity;

  private malformed = 0;

  private settled = false;

  private stopped: Promise<void> | undefined;

  private closed = false;

  constructor(private readonly options: GatewayDaemonOptions) {
    const { settings, log } = options;
    this.logger = log.part('daemon');
    const { decisionsPerSecond } = settings.log;
    this.decisions = {
      entry: new DecisionLog(log.part('entry'), decisionsPerSecond),
      dispatch: new DecisionLog(log.part('dispatch'), decisionsPerSecond),
    };
    this.members = new MemberTable(this.describeSelf());
    this.directory = this.createDirectory();
    this.role = new DispatcherRole({
      directory: this.directory,
      retryBudget: (service) => this.findRetryBudget(service),
      onDecision: (service, request, decision) => this.logGrant(service, request, decision),
    });
    this.port = this.createPort();
    this.candidates = this.createCandidates();
    this.link = this.createLink();
    this.server = this.createServer();
    this.watcher = new StoreWatcher({
      source: options.source,
      directory: this.directory,
      isResponsible: () => this.isResponsibleForStore(),
      logger: log.part('store'),
    });
    this.statePage = new StatePage((request) => this.answerState(request));
    this.readinessPage = new ReadinessPage(options.contract.readinessPath, () => this.isReady);
  }

  /** Whether the daemon takes callers. */
  get isReady(): boolean {
    return (
      this.stopped === undefined &&
      this.directory.routes !== undefined &&
      this.directory.hasEndpoints
    );
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
      this.metricsPage = await MetricsPage.create(() => this.readMetrics());
      await this.metricsPage.listen(peer.host, listen.metricsPort);
    }
    this.role.start();
    this.candidates.start();
    this.watcher.start();
    this.logger.info('daemon has started', { name, zone, seeds: this.options.settings.seeds });
    this.join().catch((error: unknown) => {
      this.logger.error('joining the fleet ended', { reason: String(error) });
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
    this.candidates.stop();
    this.role.stop();
    this.link.close();
    this.port.close();
    this.statePage.close();
    this.readinessPage.close();
    this.metricsPage?.close();
    this.server.close();
    this.decisions.entry.close();
    this.decisions.dispatch.close();
  }

  private describeSelf(): Member {
    const { name, zone, listen } = this.options.settings;
    return {
      name,
      zone,
      host: splitAddress(listen.peer).host,
      datagramPort: listen.datagramPort,
      peerAddress: listen.peer,
      startedAt: Date.now(),
    };
  }

  private createDirectory(): Directory {
    const logger = this.options.log.part('directory');
    return new Directory({
      onConfiguration: ({ version, routes }, source) =>
        logger.info('configuration is in force', { version, routes: routes.length, source }),
      onEndpoints: (source) => {
        this.role.updateEndpoints();
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
      listServices: () => this.directory.listServices(),
      isSelfAble: () => this.isSettled() && !this.role.stopping,
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
    const self = this.options.settings.name;
    return new DispatcherLink({
      zone: this.options.settings.zone,
      candidates: this.candidates,
      send: (message, target) => this.port.send(message, target),
      local: {
        ask: (ask, tell) => this.role.ask(self, ask, tell),
        withdraw: (askId) => this.role.withdraw(self, askId),
        report: (report) => this.role.report(report),
      },
      onPassOver: ({ name }, service) =>
        this.options.log.part('entry').warn('dispatcher was passed over', { name, service }),
    });
  }

  private createServer(): gateway.GatewayServer {
    const { contract, settings, log } = this.options;
    return new gateway.GatewayServer({
      contract,
      slots: this.link,
      findRoutes: () => this.directory.routes,
      heldBytes: settings.limits.memoryMegabytes * MEGABYTE * HELD_SHARE_OF_MEMORY,
      onDecision: (decision) => {
        this.metricsPage?.countRequest(decision);
        this.decisions.entry.write('request ended', { ...decision });
      },
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
      storeAgeMilliseconds: this.storeAge,
    };
  }

  private logGrant(service: string, request: grants.SlotRequest, decision: grants.Decision): void {
    this.metricsPage?.countSlot(service, decision.kind === 'grant' ? 'grant' : decision.reason);
    const { entry, route, repeated } = request;
    const common = { ask: request.key, entry, service, route, repeated };
    if (decision.kind === 'grant') {
      const { grantId, endpoint, risk, waited } = decision;
      this.decisions.dispatch.write('slot granted', {
        ...common,
        grantId,
        endpoint: endpoint.id,
        risk: Number(risk.toFixed(3)),
        waited: Math.round(waited),
      });
    } else {
      const { reason, retryAfter } = decision;
      this.decisions.dispatch.write('slot refused', { ...common, reason, retryAfter });
    }
  }

  private findRetryBudget(service: string): grants.RetryBudget {
    const { ratio, slack, windowSeconds } = this.options.settings.retries;
    const windowMilliseconds = windowSeconds * 1000;
    const first = this.members.rank(service).slice(0, DISPATCHING_RANKS);
    if (first.some(({ name }) => name === this.options.settings.name)) {
      return { ratio, slack, windowMilliseconds };
    }
    const others = Math.max(1, this.members.list().length);
    return { ratio, slack: (slack * OTHER_BUDGET_SHARE) / others, windowMilliseconds };
  }

  // While another daemon dispatches, one that started just now leaves the work to it. When all start together, somebody
  // has to begin.
  private isSettled(): boolean {
    const elapsed = performance.now() - this.startedAt;
    const alone = elapsed > ALONE_MILLISECONDS && !this.candidates.hasContact();
    if (this.directory.hasEndpoints && (alone || elapsed > SETTLE_MILLISECONDS)) {
      this.settled = true;
    }
    return this.settled;
  }

  private isResponsibleForStore(): boolean {
    if (!this.directory.hasEndpoints || this.directory.routes === undefined) {
      return true;
    }
    if (this.candidates.isSelfFirst() || this.role.isActive) {
      return true;
    }
    const ranking = this.members.rank(STORE_RANKING);
    const position = ranking.findIndex(({ name }) => name === this.options.settings.name);
    const patience = STORE_NEWS_MILLISECONDS + position * STORE_NEWS_STEP_MILLISECONDS;
    // The daemon's own contact does not count: it would end the watch that it comes from.
    return performance.now() - this.storeNewsAt > patience;
  }

  private get storeAge(): number {
    return performance.now() - Math.max(this.storeNewsAt, this.watcher.lastContactAt);
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
        this.receivePing(message[1], from);
        return;
      case 'pong':
        this.receivePong(message[1], from);
        return;
      default:
        this.link.receive(message, target);
    }
  }

  private receivePing(ping: datagrams.Ping, from: datagrams.PeerAddress): void {
    this.port.send(
      [
        'pong',
        {
          sequence: ping.sequence,
          stopping: this.role.stopping || !this.isSettled(),
          configurationVersion: this.directory.configurationVersion,
          directoryRevision: this.directory.endpointRevision,
          storeAge: Math.round(this.storeAge),
          memberDigest: this.members.digest,
          suspects: ping.standby ? this.role.listSuspects() : [],
        },
      ],
      from,
    );
    this.considerFetch(ping, from.host, false);
  }

  private receivePong(pong: datagrams.Pong, from: datagrams.PeerAddress): void {
    const member = this.members.list().find(({ host }) => host === from.host);
    if (member === undefined) {
      return;
    }
    this.candidates.receivePong(member.name, pong);
    this.storeNewsAt = Math.max(this.storeNewsAt, performance.now() - pong.storeAge);
    if (pong.suspects.length > 0 && !this.role.isActive) {
      this.role.adoptSuspects(pong.suspects);
    }
    this.considerFetch(pong, from.host, pong.memberDigest !== this.members.digest);
  }

  private considerFetch(
    known: Pick<datagrams.Pong, 'configurationVersion' | 'directoryRevision'>,
    host: string,
    membersDiffer: boolean,
  ): void {
    const lateEndpoints = known.directoryRevision > this.directory.endpointRevision;
    const mayWait = this.directory.hasEndpoints && !this.isDispatching();
    const due = performance.now() - this.lastFetchAt > LAZY_FETCH_MILLISECONDS;
    const wanted =
      known.configurationVersion > this.directory.configurationVersion ||
      (lateEndpoints && (!mayWait || due)) ||
      (membersDiffer && due);
    const member = this.members.list().find((candidate) => candidate.host === host);
    if (wanted && !this.fetching && member !== undefined) {
      this.fetchState(member.peerAddress).catch((error: unknown) => {
        const { kind, message } = results.toFailure(error);
        this.logger.warn('state of a daemon could not be read', {
          from: member.name,
          result: kind,
          reason: message,
        });
      });
    }
  }

  private isDispatching(): boolean {
    if (this.role.isActive) {
      return true;
    }
    for (const service of this.directory.listServices()) {
      if (this.candidates.isSelfStandby(service)) {
        return true;
      }
    }
    return false;
  }

  private async fetchState(address: string): Promise<void> {
    this.fetching = true;
    this.lastFetchAt = performance.now();
    try {
      const state = await requestState(address, {
        configurationVersion: this.directory.configurationVersion,
        directoryRevision: this.directory.endpointRevision,
        members: this.members.list(),
      });
      this.adoptState(state, address);
    } finally {
      this.fetching = false;
    }
  }

  private adoptState(state: State, source: string): void {
    for (const member of state.members) {
      this.addMember(member, source);
    }
    if (state.configuration !== undefined) {
      this.directory.putConfiguration(state.configuration, source);
    }
    if (state.endpoints !== undefined) {
      this.directory.replaceEndpoints(state.endpoints, state.directoryRevision, source);
    }
  }

  private addMember(member: Member, source: string): void {
    if (this.members.add(member)) {
      const { name, host } = member;
      this.options.log.part('membership').info('daemon is known', { name, host, source });
    }
  }

  private answerState(request: StateRequest): State {
    for (const member of request.members) {
      this.addMember(member, 'peer');
    }
    const { routes, endpointRevision, configurationVersion } = this.directory;
    const newer = configurationVersion > request.configurationVersion;
    return {
      ...(newer && routes !== undefined && { configuration: routes.configuration }),
      ...(endpointRevision > request.directoryRevision && { endpoints: this.directory.listAll() }),
      directoryRevision: endpointRevision,
      members: this.members.list(),
    };
  }

  // A daemon finds the others in the store, or through its seeds while the store does not answer.
  private async join(): Promise<void> {
    const { source } = this.options;
    const limit = (): AbortSignal => AbortSignal.timeout(JOIN_CALL_MILLISECONDS);
    while (this.stopped === undefined) {
      try {
        // After a restart the entries of all daemons are still there.
        if (!(await this.readMembers(limit()))) {
          await source.writeMember(this.members.self, limit());
          await delay(JOIN_PAUSE_MILLISECONDS);
          await this.readMembers(limit());
        }
        return;
      } catch (error) {
        const { kind, message } = results.toFailure(error);
        this.logger.warn('store could not be reached to join', { result: kind, reason: message });
        await this.askSeeds();
        await delay(JOIN_RETRY_MILLISECONDS);
      }
    }
  }

  /** Reads the daemons from the store; returns whether this one is among them at its present address. */
  private async readMembers(signal: AbortSignal): Promise<boolean> {
    const { self } = this.members;
    let found = false;
    for (const member of await this.options.source.readMembers(signal)) {
      this.addMember(member, 'store');
      found ||= member.name === self.name && member.host === self.host;
    }
    return found;
  }

  private async askSeeds(): Promise<void> {
    const own = this.options.settings.listen.peer;
    for (const seed of this.options.settings.seeds) {
      if (seed !== own) {
        try {
          await this.fetchState(seed);
        } catch (error) {
          this.logger.info('seed did not answer', { seed, result: results.toFailure(error).kind });
        }
      }
    }
  }

  private async stopPlanned(): Promise<void> {
    const graceMilliseconds = this.options.settings.stop.graceSeconds * 1000;
    const begunAt = performance.now();
    const elapsed = (): number => performance.now() - begunAt;
    this.logger.info('daemon stops', { inFlight: this.server.inFlight });
    this.role.beginStop();
    this.server.beginStop();
    while (elapsed() < graceMilliseconds - EXIT_BEFORE_END_MILLISECONDS) {
      await delay(STOP_CHECK_MILLISECONDS);
      if (elapsed() > TAKING_MILLISECONDS) {
        // Repeated, because connections become idle when their last answer has left.
        this.server.closeIdle();
        if (this.server.inFlight === 0 && this.server.connections === 0) {
          break;
        }
      }
    }
    this.logger.info('daemon has stopped', {
      inFlight: this.server.inFlight,
      milliseconds: Math.round(elapsed()),
    });
    this.close();
  }
}
