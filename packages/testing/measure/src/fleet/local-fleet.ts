/**
 * A whole fleet on loopback: platform, backend servers and daemons as separate processes, with the
 * first configuration in the store. Every started process is ended by `stop`.
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
import { startBackends, startStandIn, type StandInProcess } from './platform.js';
import { findFreeAddresses } from './ports.js';
import type { ProxiedLink, Topology } from './topology.js';

const KEY_BYTES = 32;
const PORTS_PER_DAEMON = 3;
const DEFAULT_BALANCER_MILLISECONDS = 1000;

/** The token of operators with authority over every organisation. */
export const OPERATOR_TOKEN = 'operator-token-of-the-local-fleet';

/** Options of a local fleet. */
export interface LocalFleetOptions {
  readonly topology: Topology;
  readonly seed: number;
  /** Creates the change of revision 1; without it, the topology does. */
  readonly createFirstChange?: (servers: readonly PlacedServer[]) => model.Change;
  /** Arguments of Node.js that start a daemon; the program of the package `command-line` without it. */
  readonly daemonCommand?: readonly string[];
  /** Settings of every daemon that replace those of the fleet, for example `limits` or `log`. */
  readonly settings?: Partial<settings.SettingsInput>;
  /** Receives each line of every daemon's log. */
  readonly onDaemonLine?: (daemon: string, line: string) => void;
}

/** Executions that the backend servers counted. */
export interface FleetExecutions {
  readonly keys: Readonly<Record<string, standIns.KeyExecutions>>;
  readonly requests: Readonly<Record<string, number>>;
}

interface DaemonPlace {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly caller: string;
  readonly peer: string;
  readonly administration: string;
  /** Where the others reach the peer port; the proxy's address when the link is proxied. */
  readonly peerAddress: string;
}

/** The program of the package `command-line`. */
export const daemonProgram = new URL(
  '../../../../../daemon/command-line/dist/src/bin.js',
  import.meta.url,
);

/** A running fleet. */
export class LocalFleet {
  readonly topology: Topology;

  private readonly options: LocalFleetOptions;

  private readonly standInProcesses: StandInProcess[] = [];

  private readonly backendsByService = new Map<string, StandInProcess>();

  private readonly daemonList: DaemonProcess[] = [];

  private directory = '';

  private storeProcess: StandInProcess | undefined;

  private machineListProcess: StandInProcess | undefined;

  private balancerProcess: StandInProcess | undefined;

  private proxyProcess: StandInProcess | undefined;

  private constructor(options: LocalFleetOptions) {
    this.options = options;
    this.topology = options.topology;
  }

  /** Starts everything and waits until every daemon is ready; ends what it started on a failure. */
  static async start(options: LocalFleetOptions): Promise<LocalFleet> {
    const fleet = new LocalFleet(options);
    try {
      await fleet.startPlatform();
      await fleet.startDaemons();
      await fleet.startBalancer();
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  get daemons(): readonly DaemonProcess[] {
    return this.daemonList;
  }

  /** The callers' address, behind the balancer. */
  get callerAddress(): string {
    return this.balancer.address;
  }

  get store(): StandInProcess {
    return LocalFleet.require(this.storeProcess, 'store');
  }

  get machineList(): StandInProcess {
    return LocalFleet.require(this.machineListProcess, 'machine list');
  }

  get balancer(): StandInProcess {
    return LocalFleet.require(this.balancerProcess, 'balancer');
  }

  /** The fault-injecting proxy; its links are named `store:DAEMON`, `peer:DAEMON`, `backend:SERVER`. */
  get proxy(): StandInProcess {
    return LocalFleet.require(this.proxyProcess, 'proxy');
  }

  /** The process with the backend servers of a service. */
  backends(service: string): StandInProcess {
    return LocalFleet.require(this.backendsByService.get(service), `backend servers of ${service}`);
  }

  /** Changes the faults of proxied links; `links` may be left out for all of them. */
  async setLinkFaults(
    links: readonly string[] | undefined,
    faults: Partial<standIns.LinkFaults>,
  ): Promise<void> {
    await this.proxy.control.post('/faults', { links, faults });
  }

  /** Reads the executions that all backend servers counted. */
  async readExecutions(): Promise<FleetExecutions> {
    const keys: Record<string, standIns.KeyExecutions> = {};
    const requests: Record<string, number> = {};
    for (const backends of this.backendsByService.values()) {
      const part = await backends.control.get<FleetExecutions>('/executions');
      Object.assign(keys, part.keys);
      Object.assign(requests, part.requests);
    }
    return { keys, requests };
  }

  /** Ends every process, daemons by a planned stop, and removes the temporary files. */
  async stop(): Promise<void> {
    await Promise.all(this.daemonList.map((daemon) => daemon.stop()));
    await Promise.all(this.standInProcesses.map((standIn) => standIn.process.stop()));
    await this.clear();
  }

  /** Ends every process without notice and removes the temporary files. */
  async kill(): Promise<void> {
    await Promise.all(this.daemonList.map((daemon) => daemon.kill()));
    await Promise.all(this.standInProcesses.map((standIn) => standIn.process.kill()));
    await this.clear();
  }

  private async clear(): Promise<void> {
    if (this.directory !== '') {
      await removeDirectory(this.directory);
    }
  }

  private static require(standIn: StandInProcess | undefined, name: string): StandInProcess {
    if (standIn === undefined) {
      throw new results.FailureError('ProcessStartFailed', `${name} is not part of this fleet`);
    }
    return standIn;
  }

  private async launch(starting: Promise<StandInProcess>): Promise<StandInProcess> {
    const standIn = await starting;
    this.standInProcesses.push(standIn);
    return standIn;
  }

  private async startPlatform(): Promise<void> {
    this.directory = await createDirectory();
    const { seed, topology } = this.options;
    this.storeProcess = await this.launch(startStandIn('store', ['--seed', String(seed)]));
    const lag = String(topology.machineListLagMilliseconds ?? 0);
    this.machineListProcess = await this.launch(startStandIn('machine-list', ['--lag', lag]));
    if ((topology.proxied ?? []).length > 0) {
      this.proxyProcess = await this.launch(startStandIn('proxy'));
    }
    const servers: PlacedServer[] = [];
    for (const service of topology.services) {
      const backends = await this.launch(startBackends(service, seed));
      this.backendsByService.set(service.name, backends);
      for (const server of backends.servers) {
        const address = await this.placeLink('backend', server.name, server.address);
        servers.push({ ...server, service: service.name, address });
      }
    }
    const change =
      this.options.createFirstChange?.(servers) ?? createFirstChange(topology, servers);
    await writeFirstChange(this.storeProcess.address, change);
  }

  /** Returns the address to use for a target: a new link of the proxy, or the target itself. */
  private async placeLink(kind: ProxiedLink, name: string, target: string): Promise<string> {
    if (this.topology.proxied?.includes(kind) !== true) {
      return target;
    }
    const link = { name: `${kind}:${name}`, target };
    const opened = await this.proxy.control.post<{ address: string }>('/links', link);
    return opened.address;
  }

  private async placeDaemons(): Promise<DaemonPlace[]> {
    const places: DaemonPlace[] = [];
    for (const zone of this.topology.zones) {
      for (let number = 1; number <= this.topology.daemonsPerZone; number += 1) {
        const name = `${zone.name}-daemon-${number}`;
        const [caller = '', peer = '', administration = ''] =
          await findFreeAddresses(PORTS_PER_DAEMON);
        const peerAddress = await this.placeLink('peer', name, peer);
        const { name: zoneName, region } = zone;
        places.push({ name, zone: zoneName, region, caller, peer, administration, peerAddress });
      }
    }
    return places;
  }

  private async startDaemons(): Promise<void> {
    const places = await this.placeDaemons();
    const machines: standIns.ListedVm[] = places.map(({ name, zone, region, peerAddress }) => ({
      name,
      zone,
      region,
      peerAddress,
      state: 'live',
    }));
    await this.machineList.control.post('/machines', { machines });
    const authority = await standIns.CertificateAuthority.create(this.directory);
    const keyFile = path.join(this.directory, 'fleet.key');
    await fileSystem.writeFile(keyFile, `${randomBytes(KEY_BYTES).toString('hex')}\n`);
    for (const place of places) {
      const certificate = await authority.issue(place.name);
      this.daemonList.push(
        new DaemonProcess({
          settings: await this.createSettings(place, certificate, keyFile),
          settingsFile: path.join(this.directory, `${place.name}.toml`),
          command: this.options.daemonCommand ?? [fileURLToPath(daemonProgram)],
          onLine: (line) => this.options.onDaemonLine?.(place.name, line),
        }),
      );
    }
    await Promise.all(this.daemonList.map((daemon) => daemon.start()));
    await Promise.all(this.daemonList.map((daemon) => daemon.waitUntilReady()));
  }

  private async createSettings(
    place: DaemonPlace,
    certificate: standIns.CertificateFiles,
    keyFile: string,
  ): Promise<settings.SettingsInput> {
    const { name, zone, region, caller, peer, administration, peerAddress } = place;
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
      store: { addresses: [await this.placeLink('store', name, this.store.address)] },
      machineList: { address: this.machineList.address },
      fleet: { keyFiles: [keyFile] },
      administration: { operatorTokenDigests: [digestToken(OPERATOR_TOKEN)] },
      log: { format: 'text', decisionShare: 0 },
      stop: {
        balancerMilliseconds: this.topology.balancerMilliseconds ?? DEFAULT_BALANCER_MILLISECONDS,
      },
      ...this.options.settings,
    };
  }

  private async startBalancer(): Promise<void> {
    const targets = this.daemonList.flatMap((daemon) => ['--target', daemon.callerAddress]);
    this.balancerProcess = await this.launch(startStandIn('balancer', targets));
  }
}
