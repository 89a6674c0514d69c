/**
 * The configuration at one revision. A configuration is immutable; applying a change creates a new
 * one.
 */
import { FailureError } from '@dogwoodstall/results';
import type { Change, Operation } from './change.js';
import type {
  BackendServer,
  EntityByKind,
  EntityKind,
  Organisation,
  Route,
  Service,
  Zone,
} from './entities.js';
import { RouteTable } from './route-table.js';

interface EntityMaps {
  zone: ReadonlyMap<string, Zone>;
  organisation: ReadonlyMap<string, Organisation>;
  service: ReadonlyMap<string, Service>;
  backendServer: ReadonlyMap<string, BackendServer>;
  route: ReadonlyMap<string, Route>;
}

const emptyMaps: EntityMaps = {
  zone: new Map(),
  organisation: new Map(),
  service: new Map(),
  backendServer: new Map(),
  route: new Map(),
};

function applyOperations(maps: EntityMaps, operations: readonly Operation[]): EntityMaps {
  const next: Record<EntityKind, Map<string, unknown>> = {} as never;
  const copyOnWrite = (kind: EntityKind): Map<string, unknown> => {
    next[kind] ??= new Map<string, unknown>(maps[kind] as ReadonlyMap<string, unknown>);
    return next[kind];
  };
  for (const operation of operations) {
    if (operation.action === 'put') {
      copyOnWrite(operation.kind).set(operation.entity.name, operation.entity);
    } else {
      copyOnWrite(operation.kind).delete(operation.name);
    }
  }
  return { ...maps, ...(next as unknown as Partial<EntityMaps>) };
}

function groupServers(servers: Iterable<BackendServer>): Map<string, BackendServer[]> {
  const groups = new Map<string, BackendServer[]>();
  for (const server of servers) {
    const group = groups.get(server.service);
    if (group === undefined) {
      groups.set(server.service, [server]);
    } else {
      group.push(server);
    }
  }
  return groups;
}

function indexCallerTokens(organisations: Iterable<Organisation>): Map<string, Organisation> {
  const index = new Map<string, Organisation>();
  for (const organisation of organisations) {
    for (const digest of organisation.callerTokenDigests) {
      index.set(digest, organisation);
    }
  }
  return index;
}

/** Immutable set of all zones, organisations, services, backend servers and routes of a revision. */
export class Configuration {
  readonly revision: number;

  private readonly maps: EntityMaps;

  private cachedRouteTable: RouteTable | undefined;

  private cachedServersByService: ReadonlyMap<string, readonly BackendServer[]> | undefined;

  private cachedOrganisationByToken: ReadonlyMap<string, Organisation> | undefined;

  // Reuses the indexes of the previous revision whose entities did not change: with 5,800 routes,
  // rebuilding the route table for each of 1,600 changes a day would stall requests.
  private constructor(revision: number, maps: EntityMaps, previous?: Configuration) {
    this.revision = revision;
    this.maps = maps;
    if (previous === undefined) {
      return;
    }
    if (previous.maps.route === maps.route) {
      this.cachedRouteTable = previous.cachedRouteTable;
    }
    if (previous.maps.backendServer === maps.backendServer) {
      this.cachedServersByService = previous.cachedServersByService;
    }
    if (previous.maps.organisation === maps.organisation) {
      this.cachedOrganisationByToken = previous.cachedOrganisationByToken;
    }
  }

  /** Returns the configuration at revision 0, before the first change. */
  static empty(): Configuration {
    return new Configuration(0, emptyMaps);
  }

  /** Builds a configuration from the entities of a snapshot. */
  static fromOperations(revision: number, operations: readonly Operation[]): Configuration {
    return new Configuration(revision, applyOperations(emptyMaps, operations));
  }

  get zones(): ReadonlyMap<string, Zone> {
    return this.maps.zone;
  }

  get organisations(): ReadonlyMap<string, Organisation> {
    return this.maps.organisation;
  }

  get services(): ReadonlyMap<string, Service> {
    return this.maps.service;
  }

  get backendServers(): ReadonlyMap<string, BackendServer> {
    return this.maps.backendServer;
  }

  get routes(): ReadonlyMap<string, Route> {
    return this.maps.route;
  }

  /** Returns the entities of a kind by name. */
  entities<Kind extends EntityKind>(kind: Kind): ReadonlyMap<string, EntityByKind[Kind]> {
    return this.maps[kind] as ReadonlyMap<string, EntityByKind[Kind]>;
  }

  /**
   * Returns the configuration that results from an accepted change.
   *
   * Throws `RevisionReverted` unless the change has the revision directly after this one.
   */
  apply(change: Change): Configuration {
    if (change.revision !== this.revision + 1) {
      throw new FailureError(
        'RevisionReverted',
        `change ${change.revision} does not follow revision ${this.revision}`,
      );
    }
    return this.preview(change.operations);
  }

  /** Returns the configuration that would result from operations, as the next revision. */
  preview(operations: readonly Operation[]): Configuration {
    return new Configuration(this.revision + 1, applyOperations(this.maps, operations), this);
  }

  /** Route table of this revision, built on first use. */
  get routeTable(): RouteTable {
    this.cachedRouteTable ??= new RouteTable(this.maps.route.values());
    return this.cachedRouteTable;
  }

  /** Returns the backend servers of a service. */
  getServers(service: string): readonly BackendServer[] {
    this.cachedServersByService ??= groupServers(this.maps.backendServer.values());
    return this.cachedServersByService.get(service) ?? [];
  }

  /** Returns the organisation that has a caller token with this SHA-256 digest. */
  findOrganisationByToken(tokenDigest: string): Organisation | undefined {
    this.cachedOrganisationByToken ??= indexCallerTokens(this.maps.organisation.values());
    return this.cachedOrganisationByToken.get(tokenDigest);
  }

  /** Returns the region of a zone, or the name of the zone if it is not configured. */
  getRegion(zone: string): string {
    return this.maps.zone.get(zone)?.region ?? zone;
  }

  /** Returns a `put` operation for every entity; referenced entities precede those that refer to them. */
  toOperations(): Operation[] {
    const operations: Operation[] = [];
    for (const kind of ['zone', 'organisation', 'service', 'backendServer', 'route'] as const) {
      for (const entity of this.maps[kind].values()) {
        operations.push({ action: 'put', kind, entity } as Operation);
      }
    }
    return operations;
  }
}
