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

function groupByZone(endpoints: readonly Endpoint[]): Map<string, Endpoint[]> {
  const zones = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const group = zones.get(endpoint.zone) ?? [];
    group.push(endpoint);
    zones.set(endpoint.zone, group);
  }
  return zones;
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
