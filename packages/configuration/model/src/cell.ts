/**
 * Dispatch cells: the disjoint groups of a service's endpoints that have one dispatcher each.
 */
import { assignGroup } from '@dogwoodstall/hashing';
import type { Configuration } from './configuration.js';
import type { BackendServer } from './entities.js';

/**
 * Above this number of slots in a region, a service has more than one cell there. One dispatcher holds
 * a few thousand requests/s; 64 slots at 20 ms for each request are 3,200 requests/s.
 */
export const MAXIMUM_CELL_SLOTS = 64;

/** A dispatch cell. */
export interface Cell {
  /** `service/region/index`; the key of rendezvous hashing. */
  readonly name: string;
  readonly service: string;
  readonly region: string;
  readonly servers: readonly BackendServer[];
  /** Slots of all servers together; the share of the service's requests that the cell receives. */
  readonly slots: number;
}

/** Returns the name of a cell. */
export function formatCellName(service: string, region: string, index: number): string {
  return `${service}/${region}/${index}`;
}

/** Returns the cells of a service in one region; none when it has no backend server there. */
export function listCells(configuration: Configuration, service: string, region: string): Cell[] {
  const servers: BackendServer[] = [];
  let slots = 0;
  for (const server of configuration.serversOf(service)) {
    if (configuration.regionOf(server.zone) === region) {
      servers.push(server);
      slots += server.slots;
    }
  }
  const count = Math.min(servers.length, Math.ceil(slots / MAXIMUM_CELL_SLOTS));
  const groups: BackendServer[][] = Array.from({ length: count }, () => []);
  for (const server of servers) {
    groups[assignGroup(server.name, count)]?.push(server);
  }
  return groups.map((group, index) => ({
    name: formatCellName(service, region, index),
    service,
    region,
    servers: group,
    slots: group.reduce((total, server) => total + server.slots, 0),
  }));
}
