/**
 * Drains that backend servers announced on their answers: the daemons that may dispatch the cell next
 * learn of them, and a server that was restarted at the same address receives work again.
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

/** One drain that a backend server announced. */
interface Drain {
  readonly server: model.BackendServer;
  /** Monotonic milliseconds of the announcement. */
  readonly since: number;
  /** The server refused a connection since, so that its process has ended. */
  ended: boolean;
  checkedAt: number;
  /** Daemons that were told, to tell others when the ranking changes. */
  readonly told: Set<string>;
}

/** Options of `DrainSigns`. */
export interface DrainSignsOptions {
  readonly name: string;
  readonly registry: Pick<
    dispatch.DispatcherRegistry,
    'snapshot' | 'markDraining' | 'clearDraining'
  >;
  readonly view: Pick<FleetView, 'listDispatchers' | 'isReachable'>;
  readonly links: Pick<peerLink.PeerLinks, 'linkTo'>;
  readonly findConfiguration: () => model.Configuration | undefined;
  readonly logger: observability.ComponentLogger;
  /** Whether an address accepts connections; a TCP connection by default. */
  readonly accepts?: (address: string) => Promise<boolean>;
  /** Monotonic milliseconds; `performance.now` by default. */
  readonly now?: () => number;
}

function connectOnce(address: string): Promise<boolean> {
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

/** Spreads announced drains and finds their end. */
export class DrainSigns {
  readonly handlers: Pick<peerLink.PeerHandlers, 'reportDrain'>;

  private readonly drains = new Map<string, Drain>();

  /** End of the last drain by server; older reports of peers are out of date. */
  private readonly endedAt = new Map<string, number>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: DrainSignsOptions) {
    this.handlers = {
      reportDrain: async ({ drains }) => ({ accepted: this.accept(drains) }),
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

  /** Looks for new drains, tells other dispatchers, and ends the drains of restarted servers. */
  async scan(): Promise<void> {
    for (const cell of this.options.registry.snapshot()) {
      for (const endpoint of cell.endpoints) {
        if (endpoint.draining) {
          this.note(endpoint.name, this.now());
        }
      }
    }
    this.forgetConfiguredDrains();
    this.tell();
    await Promise.all([...this.drains.values()].map((drain) => this.checkEnd(drain)));
  }

  private now(): number {
    return (this.options.now ?? performance.now.bind(performance))();
  }

  private note(name: string, since: number): boolean {
    const server = this.options.findConfiguration()?.backendServers.get(name);
    const outdated = since <= (this.endedAt.get(name) ?? -Infinity);
    if (server === undefined || server.draining || outdated || this.drains.has(name)) {
      return false;
    }
    this.drains.set(name, { server, since, ended: false, checkedAt: since, told: new Set() });
    this.options.logger.decision('endpoint drains', { endpoint: name });
    return true;
  }

  private accept(drains: readonly { server: string; ageMilliseconds: number }[]): number {
    let accepted = 0;
    for (const { server, ageMilliseconds } of drains) {
      if (this.note(server, this.now() - ageMilliseconds)) {
        this.options.registry.markDraining(server);
        accepted += 1;
      }
    }
    return accepted;
  }

  // An operator's drain, a new address and a removal are followed through the configuration.
  private forgetConfiguredDrains(): void {
    const servers = this.options.findConfiguration()?.backendServers;
    for (const [name, { server }] of this.drains) {
      const current = servers?.get(name);
      if (current === undefined || current.draining || current.address !== server.address) {
        this.drains.delete(name);
      }
    }
  }

  private tell(): void {
    const { links, name: self, view } = this.options;
    const reports = new Map<string, { target: peerLink.PeerTarget; drains: Drain[] }>();
    for (const drain of this.drains.values()) {
      for (const member of view.listDispatchers(drain.server)) {
        if (member.name !== self && !drain.told.has(member.name) && view.isReachable(member.name)) {
          const report = reports.get(member.name) ?? { target: member, drains: [] };
          report.drains.push(drain);
          reports.set(member.name, report);
        }
      }
    }
    for (const [name, { target, drains }] of reports) {
      const told = drains.slice(0, MAXIMUM_REPORTED_DRAINS);
      const message = { from: self, drains: told.map((drain) => this.describe(drain)) };
      const link = links.linkTo({ name, peerAddress: target.peerAddress });
      link.call('reportDrain', message).then(
        () => told.forEach((drain) => drain.told.add(name)),
        () => {},
      );
    }
  }

  private describe(drain: Drain): { server: string; ageMilliseconds: number } {
    return { server: drain.server.name, ageMilliseconds: this.now() - drain.since };
  }

  // A server that refused connections after its announcement and accepts them again is a new process.
  private async checkEnd(drain: Drain): Promise<void> {
    const now = this.now();
    if (now - drain.checkedAt < CONNECT_INTERVAL_MILLISECONDS) {
      return;
    }
    Object.assign(drain, { checkedAt: now });
    const accepted = await (this.options.accepts ?? connectOnce)(drain.server.address);
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
