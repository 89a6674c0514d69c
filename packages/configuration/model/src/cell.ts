/**
 * Partitions the backend servers of a service into dispatch cells, each served by one dispatcher.
 */
import { assignGroup } from '@dogwoodstall/hashing';
import type { Configuration } from './configuration.js';
import type { BackendServer } from './entities.js';

/**
 * A service with more slots than this in a region is split into several cells there. One dispatcher
 * handles a few thousand requests/s; 64 slots at 20 ms per request serve 3,200 requests/s.
 */
export const MAXIMUM_CELL_SLOTS = 64;

/** A disjoint group of a service's backend servers in one region, served by one dispatcher. */
export interface Cell {
  /** `service/region/index`; the key for rendezvous hashing, which selects the dispatcher. */
  readonly name: string;
  readonly service: string;
  readonly region: string;
  readonly servers: readonly BackendServer[];
  /** Total slots of the servers; the cell receives a proportional share of the service's requests. */
  readonly slots: number;
}

/** Formats the name of a cell. */
export function formatCellName(service: string, region: string, index: number): string {
  return `${service}/${region}/${index}`;
}

/** Returns the cells of a service in a region; empty if the service has no backend server there. */
export function listCells(configuration: Configuration, service: string, region: string): Cell[] {
  const servers: BackendServer[] = [];
  let slots = 0;
  for (const server of configuration.getServers(service)) {
    if (configuration.getRegion(server.zone) === region) {
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
