/**
 * The configuration and the endpoints that a daemon knows, with their revisions. Versions never decrease.
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
import { EndpointHistory, isSameEndpoint } from './endpoint-history.js';
import { memberSchema } from './member.js';

function selectEndpoints(entries: readonly unknown[]): Endpoint[] {
  return entries.flatMap((entry) => endpointSchema.safeParse(entry).data ?? []);
}

const storedEndpointsSchema = z.array(z.unknown()).transform(selectEndpoints);

const MAXIMUM_DRAINED = 4096;

/** Response to a daemon that requests the state of another one. */
export const stateSchema = z.object({
  configuration: trafficConfigurationSchema.optional(),
  /** Absent when the requesting daemon already has this revision. Older daemons may list entries that are invalid. */
  endpoints: storedEndpointsSchema.optional(),
  /** The changes since the revision of the requesting daemon, instead of all endpoints. Older daemons send none. */
  changes: z.object({ puts: storedEndpointsSchema, removed: z.array(z.string()) }).optional(),
  directoryRevision: z.number(),
  /** Absent when the requesting daemon knows the same members. */
  members: z.array(memberSchema).optional(),
});

export type State = z.infer<typeof stateSchema>;

/** Options of `Directory`. */
export interface DirectoryOptions {
  readonly onConfiguration: (configuration: TrafficConfiguration, source: string) => void;
  readonly onEndpoints: (source: string) => void;
  /**
   * Returns the monotonic milliseconds until which an endpoint that the store no longer lists is kept, because its entry
   * may have expired during an outage. Each daemon decides this by itself and tells no other one of such endpoints.
   */
  readonly toleranceEndsAt?: () => number;
}

/** The known configuration and endpoints. */
export class Directory {
  private routeIndex: RouteIndex | undefined;

  private readonly endpoints = new Map<string, Endpoint>();

  /** Times at which endpoints are removed that the store no longer lists, by id. */
  private readonly lapsed = new Map<string, number>();

  private lapseTimer: NodeJS.Timeout | undefined;

  /** Endpoints that were draining when they were removed, oldest first, by id. */
  private readonly drained = new Map<string, Endpoint>();

  private revision = 0;

  /** The revisions of the last changes. */
  readonly history = new EndpointHistory();

  /** Resolvers that are called once the configuration and the endpoints are known. */
  private readonly completionCallbacks: (() => void)[] = [];

  private readonly cellsByName = new Map<string, grants.Cell>();

  private readonly cellsByService = new Map<string, readonly grants.Cell[]>();

  constructor(private readonly options: DirectoryOptions) {}

  get routes(): RouteIndex | undefined {
    return this.routeIndex;
  }

  get configurationVersion(): number {
    return this.routeIndex?.configuration.version ?? 0;
  }

  /** Revision of the store at the last change of an endpoint; `listStored` is complete up to it. */
  get endpointRevision(): number {
    return this.revision;
  }

  /** Whether the endpoints have been read; there may be none. */
  get hasEndpoints(): boolean {
    return this.revision > 0;
  }

  /** Whether both the configuration and the endpoints are known. */
  get isComplete(): boolean {
    return this.routeIndex !== undefined && this.hasEndpoints;
  }

  /** Resolves when the configuration and the endpoints are known, or after the given time at the latest. */
  async waitUntilComplete(milliseconds: number): Promise<void> {
    if (this.isComplete) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.completionCallbacks.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private notifyCompletion(): void {
    if (this.isComplete) {
      for (const resolve of this.completionCallbacks.splice(0)) {
        resolve();
      }
    }
  }

  /** Stops the timer of lapsed endpoints. */
  close(): void {
    clearTimeout(this.lapseTimer);
  }

  /** Lists the endpoints that may be used. */
  listAll(): Endpoint[] {
    return [...this.endpoints.values()];
  }

  /** Returns the lifetime of the endpoint with the given id; undefined if there is none. */
  findLifetime(id: string): number | undefined {
    return this.endpoints.get(id)?.lifetime;
  }

  /** Whether a process of an endpoint is known to be draining, or was until its removal. */
  isLeaving(id: string, lifetime: number): boolean {
    const known = this.endpoints.get(id) ?? this.drained.get(id);
    return known !== undefined && known.draining && known.lifetime === lifetime;
  }

  /** Lists the endpoints that the store lists at the current revision. */
  listStored(): Endpoint[] {
    return this.listAll().filter(({ id }) => !this.lapsed.has(id));
  }

  /**
   * Returns the endpoints of a cell. Daemons learn at different times that a service is divided into other cells, so that
   * the name may also be of a former cell, or of one that this daemon does not know yet.
   */
  listEndpoints(cell: string): readonly Endpoint[] {
    const known = this.cellsByName.get(cell);
    if (known !== undefined) {
      return known.endpoints;
    }
    const cells = this.cellsByService.get(grants.findServiceOfCell(cell)) ?? [];
    return grants.selectEndpointsOfCell(
      cell,
      cells.flatMap(({ endpoints }) => endpoints),
    );
  }

  /** Whether any service is divided into a cell with the given name. */
  hasCell(name: string): boolean {
    return this.cellsByName.has(name);
  }

  /** Returns the cell with the given name, also a former one. */
  getCell(name: string): grants.Cell {
    const known = this.cellsByName.get(name);
    const service = grants.findServiceOfCell(name);
    return known ?? { name, service, zone: undefined, endpoints: this.listEndpoints(name) };
  }

  /** Returns the cells of a service; there is always at least one. */
  listCellsOf(service: string): readonly grants.Cell[] {
    return this.cellsByService.get(service) ?? grants.partitionIntoCells(service, []);
  }

  /** Returns the cells of every service that has a route or an endpoint. */
  listCells(): Iterable<grants.Cell> {
    return this.cellsByName.values();
  }

  /** Activates a configuration unless the active one has the same or a later version. */
  activateConfiguration(configuration: TrafficConfiguration, source: string): void {
    if (configuration.version > this.configurationVersion) {
      this.routeIndex = new RouteIndex(configuration);
      this.rebuildCells();
      this.options.onConfiguration(configuration, source);
      this.notifyCompletion();
    }
  }

  /** Replaces all endpoints by those read at a revision; an older or equal revision is ignored. */
  replaceEndpoints(endpoints: readonly Endpoint[], revision: number, source: string): void {
    if (revision <= this.revision) {
      return;
    }
    const ids = new Set(endpoints.map(({ id }) => id));
    const removed = [...this.endpoints.keys()].filter((id) => !ids.has(id));
    const isFirst = this.revision === 0;
    if (isFirst) {
      this.history.begin(revision);
    }
    const changed = this.applyChanges(endpoints, removed, revision);
    this.finishChange(changed || isFirst, revision, source);
  }

  /** Raises the revision to that of another daemon with the same endpoints, so that they are not fetched again. */
  adoptRevision(revision: number): void {
    this.revision = Math.max(this.revision, revision);
  }

  /** Lists the changes after a revision; undefined if not all of them are known. */
  listChangesSince(revision: number): State['changes'] {
    const ids = this.history.listSince(revision);
    return (
      ids && {
        puts: this.listStored().filter(({ id }) => ids.has(id)),
        removed: [...ids].filter((id) => !this.endpoints.has(id) || this.lapsed.has(id)),
      }
    );
  }

  private applyChanges(
    puts: readonly Endpoint[],
    removed: readonly string[],
    revision: number,
  ): boolean {
    const changedPuts = puts.filter((endpoint) => this.put(endpoint));
    const removedIds = removed.filter((id) => this.remove(id));
    this.history.record(changedPuts, removedIds, revision);
    return changedPuts.length + removedIds.length > 0;
  }

  /**
   * Applies the changes that the store reported up to a revision. Changes up to an older revision than that of the
   * endpoints are ignored, because later ones may be known; returns whether they were applied.
   */
  changeEndpoints(
    puts: readonly Endpoint[],
    removed: readonly string[],
    revision: number,
    source: string,
  ): boolean {
    if (revision < this.revision) {
      return false;
    }
    this.finishChange(this.applyChanges(puts, removed, revision), revision, source);
    return true;
  }

  /** Returns whether the endpoint was not listed like this before. */
  private put(endpoint: Endpoint): boolean {
    const wasLapsed = this.lapsed.delete(endpoint.id);
    const known = this.endpoints.get(endpoint.id);
    if (known !== undefined && isSameEndpoint(known, endpoint)) {
      return wasLapsed;
    }
    this.endpoints.set(endpoint.id, endpoint);
    this.drained.delete(endpoint.id);
    return true;
  }

  /** Removes an endpoint, at once or when its entry can no longer return; returns whether it was listed before. */
  private remove(id: string): boolean {
    if (!this.endpoints.has(id) || this.lapsed.has(id)) {
      return false;
    }
    const toleranceEndsAt = this.options.toleranceEndsAt?.() ?? -Infinity;
    if (performance.now() < toleranceEndsAt) {
      this.lapsed.set(id, toleranceEndsAt);
      this.scheduleRemoval();
    } else {
      this.delete(id);
    }
    return true;
  }

  private delete(id: string): void {
    const endpoint = this.endpoints.get(id);
    this.endpoints.delete(id);
    if (endpoint?.draining === true) {
      this.drained.set(id, endpoint);
    }
    if (this.drained.size > MAXIMUM_DRAINED) {
      this.drained.delete(this.drained.keys().next().value as string);
    }
  }

  private scheduleRemoval(): void {
    clearTimeout(this.lapseTimer);
    if (this.lapsed.size > 0) {
      const nextAt = Math.min(...this.lapsed.values());
      this.lapseTimer = setTimeout(() => this.removeLapsed(), nextAt - performance.now());
    }
  }

  private removeLapsed(): void {
    const now = performance.now();
    for (const [id, removeAt] of this.lapsed) {
      if (now >= removeAt) {
        this.lapsed.delete(id);
        this.delete(id);
      }
    }
    this.scheduleRemoval();
    // The revision stays, because the store's list has not changed.
    this.finishChange(true, this.revision, 'outage tolerance');
  }

  private finishChange(changed: boolean, revision: number, source: string): void {
    if (!changed) {
      return;
    }
    this.revision = revision;
    this.rebuildCells();
    this.options.onEndpoints(source);
    this.notifyCompletion();
  }

  private rebuildCells(): void {
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
