/**
 * A complete fleet on loopback: stand-ins of the platform, backend servers and daemons as separate
 * processes, with the initial configuration in the store. `stop` and `kill` end every process.
 */
import { randomBytes } from 'node:crypto';
import * as fileSystem from 'node:fs/promises';
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import type * as settings from '@dogwoodstall/settings';
import * as standIns from '@dogwoodstall/stand-ins';
import { DaemonProcess } from './daemon-process.js';
import {
  createFirstChange,
  digestToken,
  writeFirstChange,
  type PlacedServer,
} from './first-change.js';
import { createDirectory, removeDirectory } from './managed-process.js';
import { startBackends, startStandIn, type StandInProcess } from './stand-in-process.js';
import { findFreeAddresses } from './ports.js';
import type { ProxiedLink, Topology } from './topology.js';

const KEY_BYTES = 32;
const PORTS_PER_DAEMON = 3;
const DEFAULT_BALANCER_MILLISECONDS = 1000;

/** Token of an operator with access to every organisation. */
export const OPERATOR_TOKEN = 'operator-token-of-the-local-fleet';

/** Options of a local fleet. */
export interface LocalFleetOptions {
  readonly topology: Topology;
  readonly seed: number;
  /** Creates the change of revision 1; by default it is created from the topology. */
  readonly createFirstChange?: (servers: readonly PlacedServer[]) => model.Change;
  /** Arguments of Node.js that start a daemon; the program of the package `command-line` by default. */
  readonly daemonCommand?: readonly string[];
  /** Overrides for the settings of every daemon, for example `limits` or `log`. */
  readonly settings?: Partial<settings.SettingsInput>;
  /** Receives each line of every daemon's log. */
  readonly onDaemonLine?: (daemon: string, line: string) => void;
}

/** Executions that the backend servers counted, by idempotency key and by request id. */
export interface FleetExecutions {
  readonly keys: Readonly<Record<string, standIns.KeyExecutions>>;
  readonly requests: Readonly<Record<string, number>>;
}

interface DaemonPlacement {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly caller: string;
  readonly peer: string;
  readonly administration: string;
  /** Address under which other daemons reach the peer port; the proxy's when the link is proxied. */
  readonly peerAddress: string;
}

/** Entry point of the package `command-line`. */
export const daemonProgram = new URL(
  '../../../../../daemon/command-line/dist/src/bin.js',
  import.meta.url,
);

/** A running local fleet. */
export class LocalFleet {
  readonly topology: Topology;

  private readonly options: LocalFleetOptions;

  private readonly standInProcesses: StandInProcess[] = [];

  private readonly backendsByService = new Map<string, StandInProcess>();

  private readonly daemonList: DaemonProcess[] = [];

  private directory = '';

  private storeProcess: StandInProcess | undefined;

  private vmListProcess: StandInProcess | undefined;

  private loadBalancerProcess: StandInProcess | undefined;

  private proxyProcess: StandInProcess | undefined;

  private constructor(options: LocalFleetOptions) {
    this.options = options;
    this.topology = options.topology;
  }

  /** Starts every process and waits until every daemon is ready; stops them all if one fails to start. */
  static async start(options: LocalFleetOptions): Promise<LocalFleet> {
    const fleet = new LocalFleet(options);
    try {
      await fleet.startPlatform();
      await fleet.startDaemons();
      await fleet.startLoadBalancer();
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  get daemons(): readonly DaemonProcess[] {
    return this.daemonList;
  }

  /** Address for callers: that of the load balancer. */
  get callerAddress(): string {
    return this.loadBalancer.address;
  }

  get store(): StandInProcess {
    return LocalFleet.requireStandIn(this.storeProcess, 'store');
  }

  get vmList(): StandInProcess {
    return LocalFleet.requireStandIn(this.vmListProcess, 'list of VMs');
  }

  get loadBalancer(): StandInProcess {
    return LocalFleet.requireStandIn(this.loadBalancerProcess, 'load balancer');
  }

  /** The fault-injecting proxy; its links are named `store:DAEMON`, `peer:DAEMON`, `backend:SERVER`. */
  get proxy(): StandInProcess {
    return LocalFleet.requireStandIn(this.proxyProcess, 'proxy');
  }

  /** Returns the process that runs the backend servers of a service. */
  backends(service: string): StandInProcess {
    return LocalFleet.requireStandIn(
      this.backendsByService.get(service),
      `backend servers of ${service}`,
    );
  }

  /** Changes the faults of the named proxied links, or of all of them if `links` is undefined. */
  async setLinkFaults(
    links: readonly string[] | undefined,
    faults: Partial<standIns.LinkFaults>,
  ): Promise<void> {
    await this.proxy.control.post('/faults', { links, faults });
  }

  /** Merges the execution counts of all backend servers. */
  async readExecutions(): Promise<FleetExecutions> {
    const keys: Record<string, standIns.KeyExecutions> = {};
    const requests: Record<string, number> = {};
    for (const backends of this.backendsByService.values()) {
      const counts = await backends.control.get<FleetExecutions>('/executions');
      Object.assign(keys, counts.keys);
      Object.assign(requests, counts.requests);
    }
    return { keys, requests };
  }

  /** Stops every process, daemons first by graceful shutdown, and removes the temporary files. */
  async stop(): Promise<void> {
    await Promise.all(this.daemonList.map((daemon) => daemon.stop()));
    await Promise.all(this.standInProcesses.map((standIn) => standIn.process.stop()));
    await this.removeFiles();
  }

  /** Kills every process and removes the temporary files. */
  async kill(): Promise<void> {
    await Promise.all(this.daemonList.map((daemon) => daemon.kill()));
    await Promise.all(this.standInProcesses.map((standIn) => standIn.process.kill()));
    await this.removeFiles();
  }

  private async removeFiles(): Promise<void> {
    if (this.directory !== '') {
      await removeDirectory(this.directory);
    }
  }

  private static requireStandIn(standIn: StandInProcess | undefined, name: string): StandInProcess {
    if (standIn === undefined) {
      throw new results.FailureError('ProcessStartFailed', `${name} is not part of this fleet`);
    }
    return standIn;
  }

  private async addStandIn(starting: Promise<StandInProcess>): Promise<StandInProcess> {
    const standIn = await starting;
    this.standInProcesses.push(standIn);
    return standIn;
  }

  private async startPlatform(): Promise<void> {
    this.directory = await createDirectory();
    const { seed, topology } = this.options;
    this.storeProcess = await this.addStandIn(startStandIn('store', ['--seed', String(seed)]));
    const lag = String(topology.machineListLagMilliseconds ?? 0);
    this.vmListProcess = await this.addStandIn(startStandIn('machine-list', ['--lag', lag]));
    if ((topology.proxied ?? []).length > 0) {
      this.proxyProcess = await this.addStandIn(startStandIn('proxy'));
    }
    const servers: PlacedServer[] = [];
    for (const service of topology.services) {
      const backends = await this.addStandIn(startBackends(service, seed));
      this.backendsByService.set(service.name, backends);
      for (const server of backends.servers) {
        const address = await this.openLink('backend', server.name, server.address);
        servers.push({ ...server, service: service.name, address });
      }
    }
    const change =
      this.options.createFirstChange?.(servers) ?? createFirstChange(topology, servers);
    await writeFirstChange(this.storeProcess.address, change);
  }

  /** Opens a proxy link to the target if links of this kind are proxied; returns the address to use. */
  private async openLink(kind: ProxiedLink, name: string, target: string): Promise<string> {
    if (this.topology.proxied?.includes(kind) !== true) {
      return target;
    }
    const link = { name: `${kind}:${name}`, target };
    const opened = await this.proxy.control.post<{ address: string }>('/links', link);
    return opened.address;
  }

  private async allocateAddresses(): Promise<DaemonPlacement[]> {
    const placements: DaemonPlacement[] = [];
    for (const zone of this.topology.zones) {
      for (let number = 1; number <= this.topology.daemonsPerZone; number += 1) {
        const name = `${zone.name}-daemon-${number}`;
        const [caller = '', peer = '', administration = ''] =
          await findFreeAddresses(PORTS_PER_DAEMON);
        const peerAddress = await this.openLink('peer', name, peer);
        const { name: zoneName, region } = zone;
        placements.push({
          name,
          zone: zoneName,
          region,
          caller,
          peer,
          administration,
          peerAddress,
        });
      }
    }
    return placements;
  }

  private async startDaemons(): Promise<void> {
    const placements = await this.allocateAddresses();
    const vms: standIns.ListedVm[] = placements.map(({ name, zone, region, peerAddress }) => ({
      name,
      zone,
      region,
      peerAddress,
      state: 'live',
    }));
    await this.vmList.control.post('/machines', { machines: vms });
    const authority = await standIns.CertificateAuthority.create(this.directory);
    const keyFile = path.join(this.directory, 'fleet.key');
    await fileSystem.writeFile(keyFile, `${randomBytes(KEY_BYTES).toString('hex')}\n`);
    for (const placement of placements) {
      const certificate = await authority.issue(placement.name);
      this.daemonList.push(
        new DaemonProcess({
          settings: await this.createSettings(placement, certificate, keyFile),
          settingsFile: path.join(this.directory, `${placement.name}.toml`),
          command: this.options.daemonCommand ?? [fileURLToPath(daemonProgram)],
          onLine: (line) => this.options.onDaemonLine?.(placement.name, line),
        }),
      );
    }
    await Promise.all(this.daemonList.map((daemon) => daemon.start()));
    await Promise.all(this.daemonList.map((daemon) => daemon.waitUntilReady()));
  }

  private async createSettings(
    placement: DaemonPlacement,
    certificate: standIns.CertificateFiles,
    keyFile: string,
  ): Promise<settings.SettingsInput> {
    const { name, zone, region, caller, peer, administration, peerAddress } = placement;
    return {
      name,
      zone,
      region,
      listen: { caller, peer, administration },
      peerAddress,
      peerTls: {
        certificateFile: certificate.certificateFile,
        keyFile: certificate.keyFile,
        authorityFiles: [certificate.authorityFile],
      },
      store: { addresses: [await this.openLink('store', name, this.store.address)] },
      machineList: { address: this.vmList.address },
      fleet: { keyFiles: [keyFile] },
      administration: { operatorTokenDigests: [digestToken(OPERATOR_TOKEN)] },
      log: { format: 'text', decisionShare: 0 },
      stop: {
        balancerMilliseconds: this.topology.balancerMilliseconds ?? DEFAULT_BALANCER_MILLISECONDS,
      },
      ...this.options.settings,
    };
  }

  private async startLoadBalancer(): Promise<void> {
    const targets = this.daemonList.flatMap((daemon) => ['--target', daemon.callerAddress]);
    this.loadBalancerProcess = await this.addStandIn(startStandIn('balancer', targets));
  }
}
