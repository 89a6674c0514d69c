/**
 * Detection by daemons that decide alone: one endpoint for each kind of fault, all at the same time,
 * because their rule compares no endpoints and most faults outlast any window.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { SERVICE } from './cell-fleet.js';
import { clearFaults, faultKinds, injectFault, readRequestCounts } from './endpoint-faults.js';

const POLL_MILLISECONDS = 50;

/** An endpoint without new work for so long is out of use. */
const SILENCE_MILLISECONDS = 1000;

/** Milliseconds until the last new work by kind of fault; undefined when work went on. */
export type BaselineDetections = ReadonlyMap<string, number | undefined>;

function serverOf(kind: string): string {
  return `${SERVICE}-${faultKinds.indexOf(kind) * 4 + 1}`;
}

/** Begins one fault of each kind and watches for how long new work arrives. */
export async function detectInBaseline(
  fleet: LocalFleet,
  windowMilliseconds: number,
): Promise<BaselineDetections> {
  const servers = new Map(faultKinds.map((kind) => [kind, serverOf(kind)]));
  await Promise.all([...servers].map(([kind, server]) => injectFault(fleet, kind, server)));
  const startedAt = performance.now();
  const lastWorkAt = new Map<string, number>();
  let before = await readRequestCounts(fleet);
  while (performance.now() - startedAt < windowMilliseconds) {
    await sleep(POLL_MILLISECONDS);
    const arrivals = await readRequestCounts(fleet);
    for (const server of servers.values()) {
      if (arrivals.get(server) !== before.get(server)) {
        lastWorkAt.set(server, performance.now() - startedAt);
      }
    }
    before = arrivals;
  }
  await Promise.all([...servers.values()].map((server) => clearFaults(fleet, server)));
  const detections = new Map<string, number | undefined>();
  for (const [kind, server] of servers) {
    const last = lastWorkAt.get(server) ?? 0;
    detections.set(kind, windowMilliseconds - last >= SILENCE_MILLISECONDS ? last : undefined);
  }
  return detections;
}
