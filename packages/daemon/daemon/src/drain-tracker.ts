/**
 * Tracks drains that backend servers announced in their responses: reports them to the daemons that may
 * dispatch the cell next, and ends the drain of a server that was restarted at the same address.
 */
import * as net from 'node:net';
import type * as dispatch from '@dogwoodstall/dispatch';
import type * as model from '@dogwoodstall/model';
import type * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import { parseAddress } from './address.js';
import type { FleetView } from './fleet-view.js';

const SCAN_INTERVAL_MILLISECONDS = 250;
const CONNECT_INTERVAL_MILLISECONDS = 2000;
const CONNECT_TIMEOUT_MILLISECONDS = 1000;
const MAXIMUM_REPORTED_DRAINS = 100;

/** A drain that a backend server announced. */
interface Drain {
  readonly server: model.BackendServer;
  /** Time of the announcement, in monotonic milliseconds. */
  readonly announcedAt: number;
  /** Whether the server has refused a connection since, so that its process has ended. */
  ended: boolean;
  checkedAt: number;
  /** Daemons that have the report; others are sent it when the ranking changes. */
  readonly reportedTo: Set<string>;
}

/** Options of `DrainTracker`. */
export interface DrainTrackerOptions {
  readonly name: string;
  readonly registry: Pick<
    dispatch.DispatcherRegistry,
    'snapshot' | 'markDraining' | 'clearDraining'
  >;
  readonly view: Pick<FleetView, 'listDispatchers' | 'isReachable'>;
  readonly links: Pick<peerLink.PeerLinks, 'linkTo'>;
  readonly findConfiguration: () => model.Configuration | undefined;
  readonly logger: observability.ComponentLogger;
  /** Returns whether an address accepts connections; tries a TCP connection by default. */
  readonly acceptsConnections?: (address: string) => Promise<boolean>;
  /** Returns monotonic milliseconds; `performance.now` by default. */
  readonly now?: () => number;
}

function canConnect(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ ...parseAddress(address), timeout: CONNECT_TIMEOUT_MILLISECONDS });
    const end = (accepted: boolean) => (): void => {
      socket.destroy();
      resolve(accepted);
    };
    socket.once('connect', end(true));
    socket.once('timeout', end(false));
    socket.once('error', end(false));
  });
}

/** Reports announced drains to other dispatchers and detects their end. */
export class DrainTracker {
  readonly handlers: Pick<peerLink.PeerHandlers, 'reportDrain'>;

  private readonly drains = new Map<string, Drain>();

  /** End of the last drain by server; reports of earlier drains are stale. */
  private readonly endedAt = new Map<string, number>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: DrainTrackerOptions) {
    this.handlers = {
      reportDrain: async ({ drains }) => ({ accepted: this.importDrains(drains) }),
    };
  }

  start(): void {
    this.timer = setInterval(() => {
      this.scan().catch(() => {});
    }, SCAN_INTERVAL_MILLISECONDS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Finds new drains, reports them to other dispatchers, and ends the drains of restarted servers. */
  async scan(): Promise<void> {
    for (const cell of this.options.registry.snapshot()) {
      for (const endpoint of cell.endpoints) {
        if (endpoint.draining) {
          this.recordDrain(endpoint.name, this.now());
        }
      }
    }
    this.removeConfiguredDrains();
    this.reportDrains();
    await Promise.all([...this.drains.values()].map((drain) => this.checkForRestart(drain)));
  }

  private now(): number {
    return (this.options.now ?? performance.now.bind(performance))();
  }

  private recordDrain(name: string, since: number): boolean {
    const server = this.options.findConfiguration()?.backendServers.get(name);
    const outdated = since <= (this.endedAt.get(name) ?? -Infinity);
    if (server === undefined || server.draining || outdated || this.drains.has(name)) {
      return false;
    }
    this.drains.set(name, {
      server,
      announcedAt: since,
      ended: false,
      checkedAt: since,
      reportedTo: new Set(),
    });
    this.options.logger.decision('endpoint is draining', { endpoint: name });
    return true;
  }

  private importDrains(drains: readonly { server: string; ageMilliseconds: number }[]): number {
    let accepted = 0;
    for (const { server, ageMilliseconds } of drains) {
      if (this.recordDrain(server, this.now() - ageMilliseconds)) {
        this.options.registry.markDraining(server);
        accepted += 1;
      }
    }
    return accepted;
  }

  // Drains by an operator, new addresses and removals are applied through the configuration.
  private removeConfiguredDrains(): void {
    const servers = this.options.findConfiguration()?.backendServers;
    for (const [name, { server }] of this.drains) {
      const current = servers?.get(name);
      if (current === undefined || current.draining || current.address !== server.address) {
        this.drains.delete(name);
      }
    }
  }

  private reportDrains(): void {
    const { links, name: self, view } = this.options;
    const reports = new Map<string, { target: peerLink.PeerTarget; drains: Drain[] }>();
    for (const drain of this.drains.values()) {
      for (const member of view.listDispatchers(drain.server)) {
        if (
          member.name !== self &&
          !drain.reportedTo.has(member.name) &&
          view.isReachable(member.name)
        ) {
          const report = reports.get(member.name) ?? { target: member, drains: [] };
          report.drains.push(drain);
          reports.set(member.name, report);
        }
      }
    }
    for (const [name, { target, drains }] of reports) {
      const included = drains.slice(0, MAXIMUM_REPORTED_DRAINS);
      const message = { from: self, drains: included.map((drain) => this.describeDrain(drain)) };
      const link = links.linkTo({ name, peerAddress: target.peerAddress });
      link.call('reportDrain', message).then(
        () => included.forEach((drain) => drain.reportedTo.add(name)),
        () => {},
      );
    }
  }

  private describeDrain(drain: Drain): { server: string; ageMilliseconds: number } {
    return { server: drain.server.name, ageMilliseconds: this.now() - drain.announcedAt };
  }

  // A server that refused connections after the announcement and accepts them again was restarted.
  private async checkForRestart(drain: Drain): Promise<void> {
    const now = this.now();
    if (now - drain.checkedAt < CONNECT_INTERVAL_MILLISECONDS) {
      return;
    }
    Object.assign(drain, { checkedAt: now });
    const accepted = await (this.options.acceptsConnections ?? canConnect)(drain.server.address);
    if (!accepted) {
      Object.assign(drain, { ended: true });
    } else if (drain.ended) {
      const { name } = drain.server;
      this.drains.delete(name);
      this.endedAt.set(name, this.now());
      this.options.registry.clearDraining(name);
      this.options.logger.decision('endpoint returned after its drain', { endpoint: name });
    }
  }
}
