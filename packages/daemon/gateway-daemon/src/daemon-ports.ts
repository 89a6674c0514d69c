/**
 * The ports of a daemon: binds them at the start, in the order in which others depend on them, and closes the servers of
 * state, readiness and metrics.
 */
import type { PeerAddress } from '@dogwoodstall/datagrams';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import { MetricsServer, type MetricsSnapshot } from './metrics-server.js';
import type { State } from './directory.js';
import { PortBinder } from './port-binder.js';
import { ReadinessServer } from './readiness-server.js';
import { type GatewaySettings, splitAddress } from './settings.js';
import type { SideTaskErrors } from './side-task-errors.js';
import { type StateRequest, StateServer } from './state-server.js';

/** Options of `DaemonPorts`. */
export interface DaemonPortsOptions {
  readonly settings: Pick<GatewaySettings, 'listen' | 'stop'>;
  readonly readinessPath: string;
  /** Connections that may arrive at once at each port that is not for callers. */
  readonly burstConnections: number;
  readonly errors: SideTaskErrors;
  readonly bindDatagrams: (address: PeerAddress) => Promise<unknown>;
  readonly listenForCallers: (host: string, port: number) => Promise<unknown>;
  readonly provideState: (request: StateRequest) => Promise<State>;
  readonly isReady: () => boolean;
  readonly readMetrics: () => MetricsSnapshot;
  /** Called when there is a metrics server to count on, which may not listen yet. */
  readonly onMetricsServer: (server: MetricsServer) => void;
  readonly logger: observability.ComponentLogger;
}

/** Binds and closes the ports of one daemon. */
export class DaemonPorts {
  private readonly binder: PortBinder;

  private readonly stateServer: StateServer;

  private readonly readinessServer: ReadinessServer;

  private readonly abortController = new AbortController();

  private binding: Promise<void> | undefined;

  private bound = false;

  private closed = false;

  constructor(private readonly options: DaemonPortsOptions) {
    const { settings, logger, errors, burstConnections, readinessPath, isReady } = options;
    this.binder = new PortBinder({
      graceMilliseconds: settings.stop.graceSeconds * 1000,
      signal: this.abortController.signal,
      logger,
    });
    this.stateServer = new StateServer(options.provideState, errors, burstConnections);
    this.readinessServer = new ReadinessServer(readinessPath, isReady, errors, burstConnections);
  }

  /** Whether all ports that callers and other daemons need are bound. */
  get isBound(): boolean {
    return this.bound;
  }

  /** Milliseconds that were spent on each port that was in use. */
  get waitMilliseconds(): PortBinder['waitMilliseconds'] {
    return this.binder.waitMilliseconds;
  }

  /** Binds all ports; throws `ListenFailed` if one stays in use. Returns early, without an error, when aborted. */
  async bind(): Promise<void> {
    this.binding = this.bindInOrder();
    try {
      await this.binding;
    } catch (error) {
      if (!this.abortController.signal.aborted) {
        throw error;
      }
    }
  }

  /** Ends a start that is under way; resolves when nothing more is bound. */
  async abort(): Promise<void> {
    this.abortController.abort();
    await this.binding?.catch(() => undefined);
  }

  close(): void {
    this.closed = true;
    this.stateServer.close();
    this.readinessServer.close();
  }

  private async bindInOrder(): Promise<void> {
    const { listen } = this.options.settings;
    const caller = splitAddress(listen.caller);
    const readiness = splitAddress(listen.readiness);
    const peer = splitAddress(listen.peer);
    if (listen.metricsPort !== undefined) {
      this.serveMetrics(peer.host, listen.metricsPort).catch((error: unknown) => {
        const { kind, message } = results.toFailure(error);
        this.options.logger.error('metrics are not served', { result: kind, reason: message });
      });
    }
    const { bindDatagrams, listenForCallers } = this.options;
    const steps = [
      ['datagrams', () => bindDatagrams({ host: peer.host, port: listen.datagramPort })],
      ['peer', () => this.stateServer.listen(peer.host, peer.port)],
      ['readiness', () => this.readinessServer.listen(readiness.host, readiness.port)],
      ['caller', () => listenForCallers(caller.host, caller.port)],
    ] as const;
    for (const [port, bind] of steps) {
      if (this.abortController.signal.aborted) {
        return;
      }
      await this.binder.bind(port, bind);
    }
    this.bound = true;
  }

  /** Serves metrics as soon as the port is free; callers are served meanwhile, and also without metrics. */
  private async serveMetrics(host: string, port: number): Promise<void> {
    const { readMetrics, errors, burstConnections, onMetricsServer } = this.options;
    const server = await MetricsServer.create(readMetrics, errors, burstConnections);
    onMetricsServer(server);
    await this.binder.bind('metrics', () => server.listen(host, port));
    if (this.closed) {
      server.close();
    }
  }
}
