/**
 * Injects gray failures into one endpoint for measurements of fault detection.
 */
import type * as standIns from '@dogwoodstall/stand-ins';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { SERVICE } from './cell-fleet.js';

const FLAP_PERIOD_MILLISECONDS = 3000;

/** Faults of the backend server itself, by their name in figures. */
const serverFaults: Readonly<Record<string, Partial<standIns.BackendFaults>>> = {
  FailsHalf: { failShare: 0.5 },
  FailsOneRoute: { failPathPrefix: '/search' },
  TenTimesSlower: { slowFactor: 10 },
  Stalls: { stalled: true },
  Flaps: { failShare: 1, flapPeriodMilliseconds: FLAP_PERIOD_MILLISECONDS },
};

/** A network fault that drops the responses of the endpoint but not the requests. */
const PARTITION_KIND = 'OneWayPartition';

/** Names of all kinds of faults. */
export const faultKinds = [...Object.keys(serverFaults), PARTITION_KIND];

/** Injects a fault into an endpoint. */
export async function injectFault(fleet: LocalFleet, kind: string, server: string): Promise<void> {
  const faults = serverFaults[kind];
  if (faults === undefined) {
    await fleet.setLinkFaults([`backend:${server}`], { dropBackward: true });
  } else {
    await fleet.backends(SERVICE).control.post('/faults', { servers: [server], faults });
  }
}

/** Ends all faults of an endpoint. */
export async function clearFaults(fleet: LocalFleet, server: string): Promise<void> {
  await fleet.setLinkFaults([`backend:${server}`], { dropBackward: false });
  await fleet.backends(SERVICE).control.post('/faults/clear', { servers: [server] });
}

/** Reads the number of requests that each endpoint has received since its start. */
export async function readRequestCounts(fleet: LocalFleet): Promise<ReadonlyMap<string, number>> {
  const counters = await fleet
    .backends(SERVICE)
    .control.get<Record<string, standIns.BackendCounters>>('/counters');
  return new Map(Object.entries(counters).map(([name, { requests }]) => [name, requests]));
}
