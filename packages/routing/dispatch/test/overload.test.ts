/**
 * Tests of overload, fairness and head-of-line blocking in virtual time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { percentile, VirtualCell } from './virtual-cell.js';

const SERVICE_TIME_MILLISECONDS = 20;

function createCell(seed: number, endpoints: number): VirtualCell {
  return new VirtualCell({
    seed,
    endpoints,
    slots: 2,
    drawServiceTime: (cell, request) =>
      request.sizeClass === 'long' ? 1000 : cell.exponential(SERVICE_TIME_MILLISECONDS),
  });
}

test('keeps 97% of the capacity as goodput at 5 times capacity, and recovers in 2 s', async () => {
  const cell = createCell(1, 25);
  const capacityPerSecond = 50 * (1000 / SERVICE_TIME_MILLISECONDS);
  const factor = (now: number): number =>
    now < 2000 || now > 6000 ? 0.7 : 0.7 + 4.3 * Math.min(1, (now - 2000) / 1000);
  cell.generateLoad((now) => factor(now) * capacityPerSecond, 9000);
  await cell.events.runUntil(3000);
  const before = cell.statistics.inTime;
  await cell.events.runUntil(6000);
  const goodput = (cell.statistics.inTime - before) / (3 * capacityPerSecond);
  assert.ok(goodput >= 0.97, `goodput share ${goodput}`);
  await cell.events.runUntil(8000);
  cell.statistics.shortWaits.length = 0;
  await cell.events.runUntil(9000);
  const wait = percentile(cell.statistics.shortWaits, 0.99);
  assert.ok(wait < 50, `p99 wait ${wait} ms after the surge`);
  assert.deepEqual(cell.changes, []);
});

test('serves low-volume organisations fully while another floods the queue', async () => {
  const cell = createCell(2, 4);
  let lowVolumeOffered = 0;
  cell.generateLoad(
    () => 1200,
    8000,
    () => {
      const organisation =
        cell.random() < 0.85 ? 'flood' : `low-volume-${Math.floor(cell.random() * 10)}`;
      lowVolumeOffered += organisation === 'flood' ? 0 : 1;
      return { organisation };
    },
  );
  await cell.events.runUntil(10_000);
  let lowVolumeServed = 0;
  for (const [organisation, count] of cell.statistics.servedByOrganisation) {
    lowVolumeServed += organisation === 'flood' ? 0 : count;
  }
  assert.ok(
    lowVolumeServed >= lowVolumeOffered * 0.97,
    `${lowVolumeServed} of ${lowVolumeOffered} low-volume requests were served`,
  );
});

test('keeps short requests from waiting behind long ones, and starves neither class', async () => {
  const cell = createCell(3, 25);
  const meanMilliseconds = 0.98 * SERVICE_TIME_MILLISECONDS + 0.02 * 1000;
  const ratePerSecond = (50 * 0.85 * 1000) / meanMilliseconds;
  cell.generateLoad(
    () => ratePerSecond,
    20_000,
    () => ({
      deadlineAt: cell.events.time + 20_000,
      sizeClass: cell.random() < 0.02 ? 'long' : 'short',
    }),
  );
  await cell.events.runUntil(40_000);
  const wait = percentile(cell.statistics.shortWaits, 0.99);
  assert.ok(wait < 50, `p99 wait of short requests ${wait} ms`);
  assert.equal(cell.statistics.inTime, cell.statistics.offered);
});
