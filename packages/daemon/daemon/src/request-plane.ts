/**
 * The request plane of a daemon: entry, dispatcher and key home.
 */
import * as crashGuard from '@dogwoodstall/crash-guard';
import * as dispatch from '@dogwoodstall/dispatch';
import * as idempotency from '@dogwoodstall/idempotency';
import * as model from '@dogwoodstall/model';
import type * as observability from '@dogwoodstall/observability';
import * as proxy from '@dogwoodstall/proxy';
import type * as settings from '@dogwoodstall/settings';
import { parseAddress } from './address.js';
import type { ControlPlane } from './control-plane.js';
import { FleetView } from './fleet-view.js';

/** Interval of the removal of dispatchers of idle cells. */
const IDLE_CHECK_MILLISECONDS = 10_000;

/** Options of `RequestPlane`. */
export interface RequestPlaneOptions {
  readonly settings: settings.Settings;
  readonly log: observability.ProcessLog;
  readonly metrics: observability.Metrics;
  readonly control: ControlPlane;
  readonly fleetKeys: readonly Uint8Array[];
  readonly callerTls: proxy.TlsCredentials | undefined;
  readonly isReady: () => boolean;
  /** Called when a request is suspected of having crashed a backend server. */
  readonly onCrashSuspected: () => void;
  /** Resolves with the name of the daemon that received this daemon's records, if any. */
  readonly findSuccessor: () => Promise<string | undefined>;
  /** Called with each record that completes after the key home was sealed. */
  readonly onCompletedAfterSeal: (message: idempotency.CompleteRecord) => void;
}

/** Serves requests of callers and requests forwarded by peers. */
export class RequestPlane {
  readonly server: proxy.ExchangeServer;

  readonly entry: proxy.EntryServer;

  readonly receiver: proxy.ForwardReceiver;

  readonly keyHome: idempotency.KeyHome;

  readonly guard: crashGuard.CrashGuard;

  readonly view: FleetView;

  readonly registry: dispatch.DispatcherRegistry;

  private readonly backend = new proxy.BackendClient();

  private readonly keyIssuer: idempotency.KeyIssuer;

  private readonly idleTimer: NodeJS.Timeout;

  constructor(private readonly options: RequestPlaneOptions) {
    const { control } = options;
    const incarnation = String(control.members.self.incarnation);
    this.keyHome = new idempotency.KeyHome({
      incarnation,
      maximumRecords: options.settings.limits.keyRecords,
      onCompletedAfterSeal: options.onCompletedAfterSeal,
    });
    this.keyIssuer = new idempotency.KeyIssuer({ fleetKeys: options.fleetKeys });
    this.guard = new crashGuard.CrashGuard({
      now: () => performance.now(),
      origin: incarnation,
      onSuspectsAdded: options.onCrashSuspected,
    });
    this.view = new FleetView({
      members: control.members,
      links: control.links,
      findConfiguration: this.findConfiguration,
      activeIncarnations: () => this.keyHome.activeIncarnations,
    });
    this.registry = this.createRegistry();
    this.server = this.createExchangeServer();
    const router = this.createRequestRouter();
    this.entry = this.createEntry(router);
    this.receiver = new proxy.ForwardReceiver({
      server: this.server,
      router,
      findConfiguration: this.findConfiguration,
    });
    this.idleTimer = setInterval(() => this.registry.dropIdle(), IDLE_CHECK_MILLISECONDS);
    this.idleTimer.unref();
  }

  /** Binds the caller port; throws `ListenFailed`. */
  async listen(): Promise<void> {
    const { host, port } = parseAddress(this.options.settings.listen.caller);
    await this.entry.listen(host, port);
  }

  /** Applies a new configuration. */
  updateConfiguration(configuration: model.Configuration): void {
    this.registry.updateConfiguration(configuration);
    this.view.clearRanking();
    const addresses = new Set<string>();
    for (const server of configuration.backendServers.values()) {
      addresses.add(server.address);
    }
    this.backend.retainEndpoints(addresses);
  }

  /** Replaces the fleet keys and the certificate of the caller port. */
  reload(fleetKeys: readonly Uint8Array[], callerTls: proxy.TlsCredentials | undefined): void {
    this.keyIssuer.replaceFleetKeys(fleetKeys);
    if (callerTls !== undefined) {
      this.entry.reloadTls(callerTls);
    }
  }

  /** Closes the caller port and every connection; call it after the last request has ended. */
  async close(): Promise<void> {
    clearInterval(this.idleTimer);
    this.entry.close();
    await this.backend.close();
  }

  private readonly findConfiguration = (): model.Configuration | undefined =>
    this.options.control.configurationSynchroniser.current;

  private createRegistry(): dispatch.DispatcherRegistry {
    const dispatchLog = this.options.log.getLogger('dispatch');
    const healthLog = this.options.log.getLogger('health');
    return new dispatch.DispatcherRegistry({
      configuration: model.Configuration.empty(),
      now: () => performance.now(),
      random: Math.random,
      crashGuard: this.guard,
      logDecision: (decision) => {
        const message = decision.kind === 'grant' ? 'slot granted' : 'request refused';
        dispatchLog.decision(message, { ...decision });
      },
      logHealth: (change) => {
        // Health changes are rare and needed to explain incidents, so `decisionShare` does not sample them.
        healthLog.info(`endpoint ${change.kind}`, { ...change });
        this.options.metrics.count('health.changes', 1, { kind: change.kind });
      },
    });
  }

  private createExchangeServer(): proxy.ExchangeServer {
    const { log, metrics } = this.options;
    const entryLog = log.getLogger('entry');
    return new proxy.ExchangeServer({
      onDecision: (decision) => {
        entryLog.decision('request routed', { ...decision });
        metrics.timing('request', decision.totalMilliseconds, {
          route: decision.route,
          result: String(decision.result),
        });
      },
      onUnexpectedError: (requestId, error) => {
        const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
        entryLog.error('request failed unexpectedly', { requestId, reason });
      },
    });
  }

  private createRequestRouter(): proxy.RequestRouter {
    const { control, settings: daemonSettings } = this.options;
    const retryBudget = new proxy.RetryBudget();
    const reportUnreachable = (peer: string): void => control.members.reportUnreachable(peer);
    const monitor = new proxy.LinkMonitor({ onStalled: reportUnreachable });
    return new proxy.RequestRouter({
      daemonName: daemonSettings.name,
      planDispatch: (service, requestId) => this.view.planDispatch(service, requestId),
      isReachable: (peer) => this.view.isReachable(peer),
      reportUnreachable,
      locateKeyHome: (home, incarnation) => this.view.locateKeyHome(home, incarnation),
      findSuccessor: async () => {
        const member = control.members.find((await this.options.findSuccessor()) ?? '');
        return member && this.view.getPeerTarget(member);
      },
      keyIssuer: this.keyIssuer,
      keyHome: this.keyHome,
      retryBudget,
      forwarder: new proxy.PeerForwarder(monitor),
      runner: new proxy.DispatchRunner({
        acquire: (cell, request) => this.registry.getOrCreate(cell).acquire(request),
        backend: this.backend,
        retryBudget,
      }),
    });
  }

  private createEntry(router: proxy.RequestRouter): proxy.EntryServer {
    const { settings: daemonSettings, callerTls, isReady } = this.options;
    return new proxy.EntryServer({
      server: this.server,
      router,
      limits: daemonSettings.limits,
      tls: callerTls,
      isReady,
      findConfiguration: this.findConfiguration,
      keyIssuer: this.keyIssuer,
      chooseKeyHome: (service) => this.view.chooseKeyHome(service),
      zone: daemonSettings.zone,
      balancerMilliseconds: daemonSettings.stop.balancerMilliseconds,
    });
  }
}
