/**
 * Fault-injecting TCP proxy with any number of links and one control address.
 */
import * as results from '@dogwoodstall/results';
import * as zod from 'zod';
import { ControlServer } from '../control-server.js';
import { FaultLink } from './fault-link.js';

const addCallSchema = zod.strictObject({ name: zod.string(), target: zod.string() });
const faultsCallSchema = zod.strictObject({
  /** Names of the links; selects all links when absent. */
  links: zod.array(zod.string()).optional(),
  faults: zod.record(zod.string(), zod.unknown()),
});
const cutCallSchema = zod.strictObject({ links: zod.array(zod.string()).optional() });

/** Manages the links of one process. */
export class FaultProxy {
  readonly control: ControlServer;

  private readonly links = new Map<string, FaultLink>();

  constructor() {
    this.control = new ControlServer({
      'GET /links': () => this.listLinks(),
      'POST /links': async (body) => {
        const { name, target } = addCallSchema.parse(body);
        const link = await this.addLink(name, target);
        return { name, address: link.address };
      },
      'POST /faults': (body) => {
        const { links, faults } = faultsCallSchema.parse(body);
        for (const link of this.select(links)) {
          link.setFaults(faults);
        }
      },
      'POST /cut': (body) => {
        for (const link of this.select(cutCallSchema.parse(body ?? {}).links)) {
          link.resetConnections();
        }
      },
    });
  }

  async start(controlAddress = '127.0.0.1:0'): Promise<void> {
    await this.control.start(controlAddress);
  }

  async stop(): Promise<void> {
    await Promise.all([...this.links.values()].map((link) => link.stop()));
    await this.control.stop();
  }

  /** Adds a link to a target; throws `ListenFailed` when the name is already in use. */
  async addLink(name: string, target: string): Promise<FaultLink> {
    if (this.links.has(name)) {
      throw new results.FailureError('ListenFailed', `a link named "${name}" already exists`);
    }
    const link = new FaultLink(name, target);
    this.links.set(name, link);
    await link.start();
    return link;
  }

  private listLinks(): object[] {
    return [...this.links.values()].map(({ name, address, connections }) => ({
      name,
      address,
      connections,
    }));
  }

  private select(names: readonly string[] | undefined): FaultLink[] {
    if (names === undefined) {
      return [...this.links.values()];
    }
    return names.map((name) => {
      const link = this.links.get(name);
      if (link === undefined) {
        throw new results.FailureError('ConfigurationNotFound', `no link "${name}"`);
      }
      return link;
    });
  }
}
