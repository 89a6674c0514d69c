/**
 * Detection of faults by the product: one fault after another, each at a different endpoint, until the
 * dispatcher of the cell reports the ejection.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { findDispatcher, SERVICE } from './cell-fleet.js';
import { readDaemonStatus } from './daemon-status.js';
import { clearFaults, faultKinds, injectFault, readRequestCounts } from './endpoint-faults.js';

const POLL_MILLISECONDS = 10;
const DETECTION_TIMEOUT_MILLISECONDS = 5000;
const EJECTED_MILLISECONDS = 400;

/** Coprime to the number of endpoints, so that every endpoint is used but not in order of number. */
const STRIDE = 7;

/** Results of a series of faults. */
export interface ProductDetections {
  /** Detection times in milliseconds by kind of fault; the timeout if the fault was not detected. */
  readonly times: ReadonlyMap<string, number[]>;
  readonly faulty: ReadonlySet<string>;
  /** Requests that arrived at an endpoint after its ejection was reported. */
  readonly arrivalsAfterEjection: number;
}

/** Returns the number of ejections by endpoint, as counted by the dispatcher. */
export async function readEjectionCounts(fleet: LocalFleet): Promise<Map<string, number>> {
  const { cells } = await readDaemonStatus(findDispatcher(fleet));
  const endpoints = cells.flatMap((cell) => cell.endpoints);
  return new Map(endpoints.map(({ name, health }) => [name, health?.ejections ?? 0]));
}

async function isEjected(fleet: LocalFleet, server: string): Promise<boolean> {
  const { cells } = await readDaemonStatus(findDispatcher(fleet));
  const endpoints = cells.flatMap((cell) => cell.endpoints);
  return endpoints.some(({ name, health }) => name === server && health?.condition === 'ejected');
}

async function measureDetection(fleet: LocalFleet, kind: string, server: string): Promise<number> {
  await injectFault(fleet, kind, server);
  const startedAt = performance.now();
  while (performance.now() - startedAt < DETECTION_TIMEOUT_MILLISECONDS) {
    if (await isEjected(fleet, server)) {
      break;
    }
    await sleep(POLL_MILLISECONDS);
  }
  return performance.now() - startedAt;
}

/** Injects all kinds of faults repeatedly for a time, each kind at least once. */
export async function detectInProduct(
  fleet: LocalFleet,
  endpoints: number,
  durationMilliseconds: number,
): Promise<ProductDetections> {
  const times = new Map<string, number[]>(faultKinds.map((kind) => [kind, []]));
  const faulty = new Set<string>();
  const startedAt = performance.now();
  let arrivalsAfterEjection = 0;
  for (let index = 0; ; index += 1) {
    const isOver = performance.now() - startedAt > durationMilliseconds;
    if (isOver && index >= faultKinds.length) {
      return { times, faulty, arrivalsAfterEjection };
    }
    const kind = faultKinds[index % faultKinds.length] ?? '';
    const server = `${SERVICE}-${((index * STRIDE) % endpoints) + 1}`;
    faulty.add(server);
    times.get(kind)?.push(await measureDetection(fleet, kind, server));
    const before = (await readRequestCounts(fleet)).get(server) ?? 0;
    await sleep(EJECTED_MILLISECONDS);
    arrivalsAfterEjection += ((await readRequestCounts(fleet)).get(server) ?? 0) - before;
    await clearFaults(fleet, server);
  }
}
