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

  private readonly servicesByName = new Map<string, Endpoint[]>();

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

  listAll(): Endpoint[] {
    return [...this.endpoints.values()];
  }

  list(service: string): readonly Endpoint[] {
    return this.servicesByName.get(service) ?? [];
  }

  /** Services that routes name or endpoints belong to. */
  listServices(): Set<string> {
    const services = new Set(this.servicesByName.keys());
    for (const { destinations } of this.routeIndex?.configuration.routes ?? []) {
      for (const { service } of destinations) {
        services.add(service);
      }
    }
    return services;
  }

  /** Puts a configuration in force unless a later one is. */
  putConfiguration(configuration: TrafficConfiguration, source: string): void {
    if (configuration.version > this.configurationVersion) {
      this.routeIndex = new RouteIndex(configuration);
      this.options.onConfiguration(configuration, source);
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
    this.servicesByName.clear();
    for (const endpoint of this.endpoints.values()) {
      const list = this.servicesByName.get(endpoint.service) ?? [];
      list.push(endpoint);
      this.servicesByName.set(endpoint.service, list);
    }
    this.options.onEndpoints(source);
  }
}
