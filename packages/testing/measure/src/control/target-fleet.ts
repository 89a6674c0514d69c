/**
 * Daemons with a configuration of the target size: memory, and the time to start from the store and
 * from peers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as undici from 'undici';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { roundFigure, type Figures, type MeasurementContext } from '../measurement.js';
import { callAdministration } from './change-writer.js';
import { startControlFleet, stopControlFleet } from './fleets.js';
import { readFleetSnapshot, type FleetSnapshot } from './process-cost.js';
import { createOperations } from './target-configuration.js';

const DAEMONS = 3;
// Enough changes for a snapshot to be written.
const CHANGES = 200;
const REVISION_DIGITS = 12;
const BYTES_PER_MEGABYTE = 1_000_000;
const PROPAGATION_TIMEOUT_MILLISECONDS = 30_000;
const SETTLE_MILLISECONDS = 6000;

async function putChange(fleet: LocalFleet, change: model.Change): Promise<void> {
  const encode = (text: string): string => Buffer.from(text).toString('base64');
  const key = `dogwoodstall/changes/${String(change.revision).padStart(REVISION_DIGITS, '0')}`;
  const response = await undici.request(`http://${fleet.store.address}/v3/kv/put`, {
    method: 'POST',
    body: JSON.stringify({ key: encode(key), value: encode(JSON.stringify(change)) }),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    throw new results.FailureError('StoreRejected', text);
  }
}

async function readRevision(daemon: DaemonProcess): Promise<number> {
  const { body } = await callAdministration(daemon, 'GET', '/v1/daemon');
  return (body as { revision?: number }).revision ?? 0;
}

async function waitForRevision(fleet: LocalFleet, revision: number): Promise<void> {
  const giveUpAt = performance.now() + PROPAGATION_TIMEOUT_MILLISECONDS;
  for (const daemon of fleet.daemons) {
    while ((await readRevision(daemon)) < revision) {
      if (performance.now() > giveUpAt) {
        throw new results.FailureError(
          'InternalError',
          `${daemon.name} did not receive the configuration`,
        );
      }
      await delay(50);
    }
  }
}

async function writeConfiguration(fleet: LocalFleet): Promise<number> {
  const operations = createOperations(1);
  const size = Math.ceil(operations.length / CHANGES);
  let revision = 1;
  for (let start = 0; start < operations.length; start += size) {
    revision += 1;
    await putChange(fleet, {
      id: `target-size-${revision}`,
      baseRevision: revision - 1,
      revision,
      author: 'measurement',
      reason: 'configuration of the target size',
      acceptedAtEpochMilliseconds: Date.now(),
      operations: operations.slice(start, start + size),
    });
  }
  return revision;
}

async function measureRestart(daemon: DaemonProcess): Promise<number> {
  await daemon.kill();
  const startedAt = performance.now();
  await daemon.start();
  await daemon.waitUntilReady();
  return performance.now() - startedAt;
}

function describeMemory(name: string, { daemons }: FleetSnapshot): Figures {
  const mean = (select: (snapshot: (typeof daemons)[number]) => number): number =>
    daemons.reduce((sum, snapshot) => sum + select(snapshot), 0) / daemons.length;
  const resident = mean(({ process }) => process.residentBytes) / BYTES_PER_MEGABYTE;
  const heap = mean(({ process }) => process.heapUsedBytes) / BYTES_PER_MEGABYTE;
  return {
    [`${name}ResidentMegabytes`]: roundFigure(resident),
    [`${name}HeapMegabytes`]: roundFigure(heap),
  };
}

async function measureDaemons(fleet: LocalFleet): Promise<Figures> {
  const last = fleet.daemons.at(-1)!;
  const smallStart = await measureRestart(last);
  await delay(SETTLE_MILLISECONDS);
  const small = await readFleetSnapshot(fleet);
  const startedAt = performance.now();
  const revision = await writeConfiguration(fleet);
  await waitForRevision(fleet, revision);
  const propagation = performance.now() - startedAt;
  await delay(SETTLE_MILLISECONDS);
  const full = await readFleetSnapshot(fleet);
  const fromStore = await measureRestart(last);
  await fleet.store.control.post('/faults', { outage: 'reset' });
  const fromPeers = await measureRestart(last);
  const revisionFromPeers = await readRevision(last);
  return {
    ...describeMemory('smallConfigurationDaemon', small),
    ...describeMemory('targetConfigurationDaemon', full),
    smallConfigurationStartMilliseconds: roundFigure(smallStart),
    targetConfigurationSpreadMilliseconds: roundFigure(propagation),
    targetConfigurationStartFromStoreMilliseconds: roundFigure(fromStore),
    targetConfigurationStartFromPeersMilliseconds: roundFigure(fromPeers),
    targetConfigurationMissingRevisions: revision - revisionFromPeers,
  };
}

/** Measures memory and start-up time of daemons with a small configuration and with the target one. */
export async function measureTargetFleet({ seed, print }: MeasurementContext): Promise<Figures> {
  const fleet = await startControlFleet({ seed, zoneCount: 1, daemonsPerZone: DAEMONS });
  try {
    const figures = await measureDaemons(fleet);
    print(JSON.stringify(figures));
    return figures;
  } finally {
    await stopControlFleet(fleet);
  }
}
