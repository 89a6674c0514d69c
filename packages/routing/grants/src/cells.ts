/**
 * Partitions the endpoints of a service into cells, each with its own dispatcher. A small service is a single cell; a
 * large one has several cells per zone, which bounds the requests per dispatcher and the number of endpoints that an
 * entry keeps connections to.
 */
import * as hashing from '@dogwoodstall/hashing';
import type { Endpoint } from '@dogwoodstall/traffic';

/** A partition of the endpoints of a service. */
export interface Cell {
  /** Unique across the fleet; daemons that know the same endpoints derive the same names. */
  readonly name: string;
  readonly service: string;
  /** The zone of the cell's endpoints; undefined if the service is a single cell across all zones. */
  readonly zone: string | undefined;
  readonly endpoints: readonly Endpoint[];
}

/** Target size of a cell: at 5 requests/s per endpoint, a quarter of a core suffices for its dispatcher. */
const CELL_ENDPOINTS = 40;

const CELL_NAME_PATTERN = /^(?<service>.*)@(?<zone>[^@]*)#\d+$/;

function groupByZone(endpoints: readonly Endpoint[]): Map<string, Endpoint[]> {
  const zones = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const group = zones.get(endpoint.zone) ?? [];
    group.push(endpoint);
    zones.set(endpoint.zone, group);
  }
  return zones;
}

/** Returns the service of a cell, whatever the service is divided into now. */
export function findServiceOfCell(name: string): string {
  return CELL_NAME_PATTERN.exec(name)?.groups?.service ?? name;
}

/**
 * Selects the endpoints of a cell into which the service is no longer divided, or not yet as far as this daemon knows.
 * They are the endpoints that the cell had, as far as its name tells.
 */
export function selectEndpointsOfCell(name: string, endpoints: readonly Endpoint[]): Endpoint[] {
  const { zone } = CELL_NAME_PATTERN.exec(name)?.groups ?? {};
  return endpoints.filter((endpoint) => zone === undefined || endpoint.zone === zone);
}

/** Assigns each endpoint of a service to exactly one cell. */
export function partitionIntoCells(service: string, endpoints: readonly Endpoint[]): Cell[] {
  if (endpoints.length <= CELL_ENDPOINTS) {
    return [{ name: service, service, zone: undefined, endpoints }];
  }
  const cells: Cell[] = [];
  for (const [zone, group] of groupByZone(endpoints)) {
    const count = Math.ceil(group.length / CELL_ENDPOINTS);
    const parts: Endpoint[][] = Array.from({ length: count }, () => []);
    for (const endpoint of group) {
      (parts[hashing.assignGroup(endpoint.id, count)] as Endpoint[]).push(endpoint);
    }
    for (const [index, part] of parts.entries()) {
      cells.push({ name: `${service}@${zone}#${index}`, service, zone, endpoints: part });
    }
  }
  return cells;
}
