/**
 * Tests in virtual time of the time to eject faulty endpoints, and that no other endpoint is ejected:
 * 25 endpoints with 2 slots each at 70% load.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Fault, percentile, VirtualCell } from './virtual-cell.js';

const SEEDS = [1, 2, 3, 4, 5];
const FAULTY = 'server-3';
const FAULT_AT = 4000;
const END = 8500;
const MEAN_SERVICE_TIME_MILLISECONDS = 28;
const RATE_PER_SECOND = (50 * 0.7 * 1000) / MEAN_SERVICE_TIME_MILLISECONDS;

type CreateFault = (cell: VirtualCell) => Fault;

const faults: Record<string, CreateFault> = {
  'fails half of its requests': (cell) => (_request, serviceTime) =>
    cell.random() < 0.5 ? { kind: 'server-error', milliseconds: serviceTime } : undefined,
  'fails one route': () => (request, serviceTime) =>
    request.routeName === 'expensive'
      ? { kind: 'server-error', milliseconds: serviceTime }
      : undefined,
  'is ten times slower': () => (_request, serviceTime) => ({
    kind: 'success',
    milliseconds: serviceTime * 10,
  }),
  'stalls or is cut off in one direction': () => () => ({
    kind: 'success',
    milliseconds: Infinity,
  }),
  'flaps every 1.5 s': () => (_request, serviceTime, now) =>
    Math.floor((now - FAULT_AT) / 1500) % 2 === 0
      ? { kind: 'reset', milliseconds: serviceTime }
      : undefined,
};

function createCell(seed: number): VirtualCell {
  const cell = new VirtualCell({
    seed,
    endpoints: 25,
    slots: 2,
    drawServiceTime: (drawn, request) =>
      drawn.exponential(request.routeName === 'expensive' ? 60 : 20),
  });
  cell.generateLoad(
    () => RATE_PER_SECOND,
    END,
    () => ({
      routeName: cell.random() < 0.2 ? 'expensive' : 'route',
      organisation: `organisation-${Math.floor(cell.random() * 20)}`,
    }),
  );
  return cell;
}

for (const [name, createFault] of Object.entries(faults)) {
  test(`ejects an endpoint that ${name} in time, and no other`, async () => {
    const times: number[] = [];
    for (const seed of SEEDS) {
      const cell = createCell(seed);
      cell.events.schedule(() => cell.faults.set(FAULTY, createFault(cell)), FAULT_AT);
      await cell.events.runUntil(END);
      times.push((cell.findEjection(FAULTY, FAULT_AT) ?? Infinity) - FAULT_AT);
      const others = cell.changes.filter(({ endpointName }) => endpointName !== FAULTY);
      assert.deepEqual(others, [], `seed ${seed}`);
    }
    assert.ok(percentile(times, 0.5) < 1000, `detection times ${times.join(', ')} ms`);
    assert.ok(Math.max(...times) < 3000, `detection times ${times.join(', ')} ms`);
  });
}

test('ejects no endpoint when the whole service slows down or one organisation fails', async () => {
  const cell = createCell(6);
  const degraded: Fault = (request, serviceTime) =>
    request.organisation === 'organisation-1'
      ? { kind: 'server-error', milliseconds: serviceTime }
      : { kind: 'success', milliseconds: serviceTime * 1.3 };
  cell.events.schedule(
    () => cell.servers.forEach((server) => cell.faults.set(server.name, degraded)),
    FAULT_AT,
  );
  await cell.events.runUntil(END);
  assert.deepEqual(cell.changes, []);
});

test('ejects no endpoint when every endpoint stalls until its requests time out', async () => {
  const cell = createCell(7);
  const stalled: Fault = () => ({ kind: 'success', milliseconds: Infinity });
  cell.events.schedule(
    () => cell.servers.forEach((server) => cell.faults.set(server.name, stalled)),
    FAULT_AT,
  );
  await cell.events.runUntil(END);
  assert.deepEqual(cell.changes, []);
});

test('ejects no endpoint shortly after the start, before any long request has finished', async () => {
  for (const seed of SEEDS) {
    const cell = new VirtualCell({
      seed,
      endpoints: 25,
      slots: 2,
      drawServiceTime: (drawn) => (drawn.random() < 0.02 ? 1000 : 20),
    });
    cell.generateLoad(() => 850, 3000);
    await cell.events.runUntil(3000);
    assert.deepEqual(cell.changes, [], `seed ${seed}`);
  }
});
