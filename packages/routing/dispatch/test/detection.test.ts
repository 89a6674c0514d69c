/**
 * Detection times and false ejections in virtual time, at 25 endpoints of 2 slots and 70% load.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Fault, percentile, VirtualCell } from './virtual-cell.js';

const SEEDS = [1, 2, 3, 4, 5];
const FAULTY = 'server-3';
const FAULT_AT = 4000;
const END = 8500;
const MEAN_WORK_MILLISECONDS = 28;
const RATE_PER_SECOND = (50 * 0.7 * 1000) / MEAN_WORK_MILLISECONDS;

type CreateFault = (cell: VirtualCell) => Fault;

const faults: Record<string, CreateFault> = {
  'fails half of real work': (cell) => (_request, work) =>
    cell.random() < 0.5 ? { kind: 'server-error', milliseconds: work } : undefined,
  'fails one route': () => (request, work) =>
    request.routeName === 'expensive' ? { kind: 'server-error', milliseconds: work } : undefined,
  'is ten times slower': () => (_request, work) => ({ kind: 'success', milliseconds: work * 10 }),
  'stalls or is cut off in one direction': () => () => ({
    kind: 'success',
    milliseconds: Infinity,
  }),
  'flaps every 1.5 s': () => (_request, work, now) =>
    Math.floor((now - FAULT_AT) / 1500) % 2 === 0
      ? { kind: 'reset', milliseconds: work }
      : undefined,
};

function createCell(seed: number): VirtualCell {
  const cell = new VirtualCell({
    seed,
    endpoints: 25,
    slots: 2,
    drawWork: (drawn, request) => drawn.exponential(request.routeName === 'expensive' ? 60 : 20),
  });
  cell.generate(
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

test('ejects nobody when the whole service becomes slow or one organisation fails', async () => {
  const cell = createCell(6);
  const degraded: Fault = (request, work) =>
    request.organisation === 'organisation-1'
      ? { kind: 'server-error', milliseconds: work }
      : { kind: 'success', milliseconds: work * 1.3 };
  cell.events.schedule(
    () => cell.servers.forEach((server) => cell.faults.set(server.name, degraded)),
    FAULT_AT,
  );
  await cell.events.runUntil(END);
  assert.deepEqual(cell.changes, []);
});

test('ejects nobody when every endpoint stalls until its requests time out', async () => {
  const cell = createCell(7);
  const stalled: Fault = () => ({ kind: 'success', milliseconds: Infinity });
  cell.events.schedule(
    () => cell.servers.forEach((server) => cell.faults.set(server.name, stalled)),
    FAULT_AT,
  );
  await cell.events.runUntil(END);
  assert.deepEqual(cell.changes, []);
});

test('ejects nobody shortly after the start, when no long request has ended yet', async () => {
  for (const seed of SEEDS) {
    const cell = new VirtualCell({
      seed,
      endpoints: 25,
      slots: 2,
      drawWork: (drawn) => (drawn.random() < 0.02 ? 1000 : 20),
    });
    cell.generate(() => 850, 3000);
    await cell.events.runUntil(3000);
    assert.deepEqual(cell.changes, [], `seed ${seed}`);
  }
});
