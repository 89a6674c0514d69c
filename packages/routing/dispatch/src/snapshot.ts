/**
 * The state of a cell, as shown in status output.
 */
import type { EndpointHealthSnapshot } from '@dogwoodstall/health';
import type { EndpointPool } from './endpoint-pool.js';

/** The state of one endpoint. */
export interface EndpointSnapshot {
  readonly name: string;
  readonly zone: string;
  readonly slots: number;
  readonly limit: number;
  readonly inFlight: number;
  readonly longInFlight: number;
  /** Requests of other dispatchers, as reported by the endpoint. */
  readonly foreignInFlight: number;
  readonly draining: boolean;
  readonly health: EndpointHealthSnapshot | undefined;
}

/** The state of one cell. */
export interface CellSnapshot {
  readonly name: string;
  readonly endpoints: readonly EndpointSnapshot[];
  readonly waitingShort: number;
  readonly waitingLong: number;
  readonly grants: number;
  readonly refusals: number;
  readonly meanShortMilliseconds: number;
  readonly meanLongMilliseconds: number;
}

/** Returns the state of the endpoints of a pool. */
export function describeEndpoints(
  pool: EndpointPool,
  healths: readonly EndpointHealthSnapshot[],
  now: number,
): EndpointSnapshot[] {
  const healthByName = new Map(healths.map((health) => [health.name, health]));
  return pool.list().map((endpoint) => ({
    name: endpoint.server.name,
    zone: endpoint.server.zone,
    slots: endpoint.server.slots,
    limit: endpoint.limit(now),
    inFlight: endpoint.inFlight,
    longInFlight: endpoint.longInFlight,
    foreignInFlight: endpoint.otherDispatchersInFlight(now),
    draining: endpoint.draining,
    health: healthByName.get(endpoint.server.name),
  }));
}
