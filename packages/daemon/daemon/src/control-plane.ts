/**
 * The control plane of a daemon: store client, VM list, peer server, membership and configuration.
 */
import * as configurationLog from '@dogwoodstall/configuration-log';
import * as configurationSpread from '@dogwoodstall/configuration-spread';
import * as machineList from '@dogwoodstall/machine-list';
import * as membership from '@dogwoodstall/membership';
import type * as observability from '@dogwoodstall/observability';
import * as peerLink from '@dogwoodstall/peer-link';
import type * as settings from '@dogwoodstall/settings';
import * as storeClient from '@dogwoodstall/store-client';
import { parseAddress } from './address.js';

/** Options of `ControlPlane`. */
export interface ControlPlaneOptions {
  readonly settings: settings.Settings;
  readonly log: observability.ProcessLog;
  readonly peerTls: peerLink.PeerTls;
  readonly forward: peerLink.ForwardHandler;
}

/** Exchanges state with the store and other daemons. */
export class ControlPlane {
  readonly links: peerLink.PeerLinks;

  readonly members: membership.Membership;

  readonly configurationSynchroniser: configurationSpread.ConfigurationSynchroniser;

  readonly changes: configurationLog.ConfigurationLog;

  readonly machines: machineList.VmListPoller;

  readonly store: storeClient.StoreClient;

  private readonly server: peerLink.PeerServer;

  private readonly handlers: Partial<peerLink.PeerHandlers> = {};

  constructor(private readonly options: ControlPlaneOptions) {
    const { log } = options;
    const {
      name,
      zone,
      region,
      listen,
      peerAddress,
      store,
      machineList: list,
      fleet,
    } = options.settings;
    this.links = new peerLink.PeerLinks(options.peerTls);
    this.server = new peerLink.PeerServer({
      tls: options.peerTls,
      handlers: this.handlers,
      forward: options.forward,
      onRequest: (peer) => this.links.recordActivity(peer),
    });
    this.store = new storeClient.StoreClient({ addresses: store.addresses });
    this.machines = new machineList.VmListPoller({
      address: list.address,
      onFailure: ({ failure }) =>
        log
          .getLogger('membership')
          .warn('the list of VMs could not be read', { result: failure.kind }),
    });
    const listedVms = (): readonly machineList.Vm[] => this.machines.machines;
    this.members = new membership.Membership({
      name,
      zone,
      region,
      peerAddress: peerAddress ?? listen.peer,
      links: this.links,
      seeds: fleet.seeds,
      listedVms,
      onMemberUpdate: (peer) =>
        this.configurationSynchroniser.recordRevision(peer.name, peer.revision),
      logger: log.getLogger('membership'),
    });
    this.changes = new configurationLog.ConfigurationLog({
      store: this.store,
      currentConfiguration: () => this.configurationSynchroniser.current,
    });
    this.configurationSynchroniser = new configurationSpread.ConfigurationSynchroniser({
      log: this.changes,
      members: this.members,
      links: this.links,
      listedVms,
      logger: log.getLogger('configuration'),
    });
    this.registerHandlers(this.members.handlers);
    this.registerHandlers(this.configurationSynchroniser.handlers);
  }

  /** Traffic on the peer port, and the number of calls that this daemon sent by procedure. */
  get traffic(): { peerPort: peerLink.PeerTraffic; peerCalls: Record<string, number> } {
    const peerCalls = Object.fromEntries(this.links.callCounts);
    return { peerPort: this.server.traffic, peerCalls };
  }

  /** Registers peer procedures that other components handle. */
  registerHandlers(handlers: Partial<peerLink.PeerHandlers>): void {
    Object.assign(this.handlers, handlers);
  }

  /** Binds the peer port and starts the VM list, membership and configuration; throws `ListenFailed`. */
  async start(): Promise<void> {
    const { host, port } = parseAddress(this.options.settings.listen.peer);
    await this.server.listen(host, port);
    this.machines.start();
    this.members.start();
    this.configurationSynchroniser.start();
  }

  /** Uses new certificates for subsequent connections. */
  reload(peerTls: peerLink.PeerTls): void {
    this.server.reload(peerTls);
    this.links.reload(peerTls);
  }

  /** Stops all components; the caller has waited for forwarded requests to end. */
  async stop(): Promise<void> {
    await this.configurationSynchroniser.stop();
    await this.members.stop();
    await this.machines.stop();
    await this.links.destroy();
    await this.server.destroy();
    await this.store.close();
  }
}
