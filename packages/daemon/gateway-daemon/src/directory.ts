/**
 * What a daemon knows: the configuration, the endpoints and their revision. Versions never decrease.
 */
import {
  type Endpoint,
  RouteIndex,
  type TrafficConfiguration,
  endpointSchema,
  trafficConfigurationSchema,
} from '@dogwoodstall/traffic';
import * as grants from '@dogwoodstall/grants';
import * as z from 'zod';
import { memberSchema } from './member.js';

/** What daemons hand to each other. */
export const stateSchema = z.object({
  configuration: trafficConfigurationSchema.optional(),
  /** Absent when the asking daemon knows this revision. */
  endpoints: z.array(endpointSchema).optional(),
  directoryRevision: z.number(),
  members: z.array(memberSchema),
});

export type State = z.infer<typeof stateSchema>;

function isSameEndpoint(left: Endpoint, right: Endpoint): boolean {
  return (
    left.lifetime === right.lifetime &&
    left.address === right.address &&
    left.service === right.service &&
    left.draining === right.draining &&
    left.slots === right.slots &&
    left.zone === right.zone
  );
}

/** Options of `Directory`. */
export interface DirectoryOptions {
  readonly onConfiguration: (configuration: TrafficConfiguration, source: string) => void;
  readonly onEndpoints: (source: string) => void;
}

/** The known configuration and endpoints. */
export class Directory {
  private routeIndex: RouteIndex | undefined;

  private readonly endpoints = new Map<string, Endpoint>();

  private revision = 0;

  /** Called when configuration and endpoints are known for the first time. */
  private readonly completion: (() => void)[] = [];

  private readonly cellsByName = new Map<string, grants.Cell>();

  private readonly cellsByService = new Map<string, readonly grants.Cell[]>();

  constructor(private readonly options: DirectoryOptions) {}

  get routes(): RouteIndex | undefined {
    return this.routeIndex;
  }

  get configurationVersion(): number {
    return this.routeIndex?.configuration.version ?? 0;
  }

  /** Revision of the store at which an endpoint changed last. */
  get endpointRevision(): number {
    return this.revision;
  }

  /** Whether the endpoints are known, even if there are none. */
  get hasEndpoints(): boolean {
    return this.revision > 0;
  }

  /** Whether configuration and endpoints are known. */
  get isComplete(): boolean {
    return this.routeIndex !== undefined && this.hasEndpoints;
  }

  /** Resolves when configuration and endpoints are known, at the latest after a time. */
  async waitUntilComplete(milliseconds: number): Promise<void> {
    if (this.isComplete) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.completion.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private noteCompletion(): void {
    if (this.isComplete) {
      for (const resolve of this.completion.splice(0)) {
        resolve();
      }
    }
  }

  listAll(): Endpoint[] {
    return [...this.endpoints.values()];
  }

  /** Endpoints of a cell; none when it is not known. */
  listEndpoints(cell: string): readonly Endpoint[] {
    return this.cellsByName.get(cell)?.endpoints ?? [];
  }

  /** Returns the cell of a name; an empty one when it is not known. */
  describeCell(name: string): grants.Cell {
    return this.cellsByName.get(name) ?? { name, service: name, zone: undefined, endpoints: [] };
  }

  /** Cells of a service, at least one. */
  listCellsOf(service: string): readonly grants.Cell[] {
    return this.cellsByService.get(service) ?? grants.partitionIntoCells(service, []);
  }

  /** Cells of all services that routes name or endpoints belong to. */
  listCells(): Iterable<grants.Cell> {
    return this.cellsByName.values();
  }

  /** Puts a configuration in force unless a later one is. */
  putConfiguration(configuration: TrafficConfiguration, source: string): void {
    if (configuration.version > this.configurationVersion) {
      this.routeIndex = new RouteIndex(configuration);
      this.divide();
      this.options.onConfiguration(configuration, source);
      this.noteCompletion();
    }
  }

  /** Replaces all endpoints by what was read at a revision. */
  replaceEndpoints(endpoints: readonly Endpoint[], revision: number, source: string): void {
    if (revision <= this.revision) {
      return;
    }
    const ids = new Set(endpoints.map(({ id }) => id));
    let changed = this.revision === 0;
    for (const id of this.endpoints.keys()) {
      if (!ids.has(id)) {
        this.endpoints.delete(id);
        changed = true;
      }
    }
    for (const endpoint of endpoints) {
      changed = this.put(endpoint) || changed;
    }
    this.finishChange(changed, revision, source);
  }

  /** Applies changes that the store told after the last revision. */
  changeEndpoints(
    puts: readonly Endpoint[],
    removed: readonly string[],
    revision: number,
    source: string,
  ): void {
    let changed = false;
    for (const endpoint of puts) {
      changed = this.put(endpoint) || changed;
    }
    for (const id of removed) {
      changed = this.endpoints.delete(id) || changed;
    }
    if (changed) {
      this.finishChange(changed, Math.max(revision, this.revision + 1), source);
    }
  }

  private put(endpoint: Endpoint): boolean {
    const known = this.endpoints.get(endpoint.id);
    if (known !== undefined && isSameEndpoint(known, endpoint)) {
      return false;
    }
    this.endpoints.set(endpoint.id, endpoint);
    return true;
  }

  private finishChange(changed: boolean, revision: number, source: string): void {
    if (!changed) {
      return;
    }
    this.revision = revision;
    this.divide();
    this.options.onEndpoints(source);
    this.noteCompletion();
  }

  private divide(): void {
    const endpointsByService = new Map<string, Endpoint[]>();
    for (const service of this.routeIndex?.services ?? []) {
      endpointsByService.set(service, []);
    }
    for (const endpoint of this.endpoints.values()) {
      const list = endpointsByService.get(endpoint.service) ?? [];
      list.push(endpoint);
      endpointsByService.set(endpoint.service, list);
    }
    this.cellsByName.clear();
    this.cellsByService.clear();
    for (const [service, endpoints] of endpointsByService) {
      const cells = grants.partitionIntoCells(service, endpoints);
      this.cellsByService.set(service, cells);
      for (const cell of cells) {
        this.cellsByName.set(cell.name, cell);
      }
    }
  }
}
