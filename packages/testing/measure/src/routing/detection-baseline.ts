/**
 * Detection of faults by the baseline: one endpoint for each kind of fault, all at the same time. This
 * is valid because the rule of the baseline compares no endpoints, and it saves time because most faults
 * remain undetected for the whole window.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { SERVICE } from './cell-fleet.js';
import { clearFaults, faultKinds, injectFault, readRequestCounts } from './endpoint-faults.js';

const POLL_MILLISECONDS = 50;

/** An endpoint counts as ejected after this time without new requests. */
const EJECTED_AFTER_MILLISECONDS = 1000;

/** Milliseconds until the last new request, by kind of fault; undefined if requests continued. */
export type BaselineDetections = ReadonlyMap<string, number | undefined>;

function getServer(kind: string): string {
  return `${SERVICE}-${faultKinds.indexOf(kind) * 4 + 1}`;
}

/** Injects one fault of each kind and measures for how long each endpoint receives new requests. */
export async function detectInBaseline(
  fleet: LocalFleet,
  windowMilliseconds: number,
): Promise<BaselineDetections> {
  const servers = new Map(faultKinds.map((kind) => [kind, getServer(kind)]));
  await Promise.all([...servers].map(([kind, server]) => injectFault(fleet, kind, server)));
  const startedAt = performance.now();
  const lastRequestAt = new Map<string, number>();
  let before = await readRequestCounts(fleet);
  while (performance.now() - startedAt < windowMilliseconds) {
    await sleep(POLL_MILLISECONDS);
    const counts = await readRequestCounts(fleet);
    for (const server of servers.values()) {
      if (counts.get(server) !== before.get(server)) {
        lastRequestAt.set(server, performance.now() - startedAt);
      }
    }
    before = counts;
  }
  await Promise.all([...servers.values()].map((server) => clearFaults(fleet, server)));
  const detections = new Map<string, number | undefined>();
  for (const [kind, server] of servers) {
    const last = lastRequestAt.get(server) ?? 0;
    detections.set(
      kind,
      windowMilliseconds - last >= EJECTED_AFTER_MILLISECONDS ? last : undefined,
    );
  }
  return detections;
}
