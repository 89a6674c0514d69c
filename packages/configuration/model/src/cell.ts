/**
 * Dispatch cells: the disjoint groups of a service's endpoints that have one dispatcher each.
 */
import { assignGroup } from '@dogwoodstall/hashing';
import type { Configuration } from './configuration.js';
import type { BackendServer } from './entities.js';

/** Above this number of endpoints in a region, a service has more than one cell there. */
export const MAXIMUM_CELL_ENDPOINTS = 64;

/** A dispatch cell. */
export interface Cell {
  /** `service/region/index`; the key of rendezvous hashing. */
  readonly name: string;
  readonly service: string;
  readonly region: string;
  readonly servers: readonly BackendServer[];
}

/** Returns the name of a cell. */
export function formatCellName(service: string, region: string, index: number): string {
  return `${service}/${region}/${index}`;
}

/** Returns the cells of a service in one region; none when it has no backend server there. */
export function listCells(configuration: Configuration, service: string, region: string): Cell[] {
  const servers: BackendServer[] = [];
  for (const server of configuration.serversOf(service)) {
    if (configuration.regionOf(server.zone) === region) {
      servers.push(server);
    }
  }
  const count = Math.ceil(servers.length / MAXIMUM_CELL_ENDPOINTS);
  const groups: BackendServer[][] = Array.from({ length: count }, () => []);
  for (const server of servers) {
    groups[assignGroup(server.name, count)]?.push(server);
  }
  return groups.map((group, index) => ({
    name: formatCellName(service, region, index),
    service,
    region,
    servers: group,
  }));
}
