/**
 * Group of backend server stand-ins in one process, with a shared control address and execution log.
 */
import * as results from '@dogwoodstall/results';
import * as zod from 'zod';
import { ControlServer } from '../control-server.js';
import { BackendServerStandIn, type BackendServerOptions } from './backend-server.js';
import { ExecutionLog } from './execution-log.js';
import { backendFaultsSchema } from './faults.js';

const selectionSchema = zod.object({
  /** Names of the servers; selects all servers when absent. */
  servers: zod.array(zod.string()).optional(),
});
const faultsCallSchema = selectionSchema.extend({ faults: backendFaultsSchema.partial() });
const drainCallSchema = selectionSchema.extend({ draining: zod.boolean().default(true) });
const crashCallSchema = selectionSchema.extend({ refusalMilliseconds: zod.number().optional() });

/** Address and capacity of one server, as `GET /servers` lists it. */
export interface BackendListing {
  readonly name: string;
  readonly address: string;
  readonly slots: number;
  readonly connectionLimit: number;
}

/** The backend servers of one process. */
export class BackendGroup {
  readonly log = new ExecutionLog();

  readonly control: ControlServer;

  private readonly servers = new Map<string, BackendServerStandIn>();

  constructor(options: readonly BackendServerOptions[]) {
    for (const server of options) {
      this.servers.set(server.name, new BackendServerStandIn(server, this.log));
    }
    this.control = new ControlServer({
      'GET /servers': () => this.listServers(),
      'GET /counters': () => this.listCounters(),
      'GET /executions': () => this.log.toObject(),
      'POST /executions/clear': () => this.log.clear(),
      'POST /faults': (body) => this.setFaults(body),
      'POST /faults/clear': (body) => this.clearFaults(body),
      'POST /drain': (body) => this.drain(body),
      'POST /crash': (body) => this.crash(body),
    });
  }

  async start(controlAddress = '127.0.0.1:0'): Promise<void> {
    for (const server of this.servers.values()) {
      await server.start();
    }
    await this.control.start(controlAddress);
  }

  async stop(): Promise<void> {
    await Promise.all([...this.servers.values()].map((server) => server.stop()));
    await this.control.stop();
  }

  /** Returns one server; throws `ConfigurationNotFound`. */
  find(name: string): BackendServerStandIn {
    const server = this.servers.get(name);
    if (server === undefined) {
      throw new results.FailureError('ConfigurationNotFound', `no backend server "${name}"`);
    }
    return server;
  }

  listServers(): BackendListing[] {
    return [...this.servers.values()].map(({ name, address, slots, connectionLimit }) => ({
      name,
      address,
      slots,
      connectionLimit,
    }));
  }

  private listCounters(): Record<string, unknown> {
    const counters: Record<string, unknown> = {};
    for (const server of this.servers.values()) {
      counters[server.name] = { ...server.counters, ...server.load };
    }
    return counters;
  }

  private select(names: readonly string[] | undefined): BackendServerStandIn[] {
    return names === undefined ? [...this.servers.values()] : names.map((name) => this.find(name));
  }

  private setFaults(body: unknown): void {
    const { servers } = faultsCallSchema.parse(body);
    // The parsed faults carry schema defaults, which would reset faults that the call does not name.
    const { faults } = body as { faults: unknown };
    for (const server of this.select(servers)) {
      server.setFaults(faults);
    }
  }

  private clearFaults(body: unknown): void {
    for (const server of this.select(selectionSchema.parse(body ?? {}).servers)) {
      server.clearFaults();
    }
  }

  private drain(body: unknown): void {
    const { servers, draining } = drainCallSchema.parse(body);
    for (const server of this.select(servers)) {
      server.setDraining(draining);
    }
  }

  private crash(body: unknown): void {
    const { servers, refusalMilliseconds } = crashCallSchema.parse(body);
    for (const server of this.select(servers)) {
      server.crash(refusalMilliseconds);
    }
  }
}
