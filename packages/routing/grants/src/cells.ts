/**
 * Cells: disjoint parts of the endpoints of a service, each with a dispatcher of its own. A small service is one cell;
 * a large one has cells in each zone, so that no dispatcher sees more requests than its machine can decide about and
 * an entry keeps connections to few endpoints.
 */
import * as hashing from '@dogwoodstall/hashing';
import type { Endpoint } from '@dogwoodstall/traffic';

/** A part of the endpoints of a service. */
export interface Cell {
  /** Unique in the fleet; daemons with the same endpoints name the same cells. */
  readonly name: string;
  readonly service: string;
  /** The zone of all endpoints; undefined when the service is one cell. */
  readonly zone: string | undefined;
  readonly endpoints: readonly Endpoint[];
}

/** Endpoints of one cell: at 5 requests/s each, a dispatcher with a quarter of a core decides about all of them. */
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

/** Divides the endpoints of a service; each endpoint is in exactly one cell. */
export function divideIntoCells(service: string, endpoints: readonly Endpoint[]): Cell[] {
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
