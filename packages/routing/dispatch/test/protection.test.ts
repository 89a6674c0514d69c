/**
 * Tests of the load of other dispatchers, the overload of one endpoint, crashing requests, a new
 * dispatcher and the loss of a zone.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CrashGuard } from '@dogwoodstall/crash-guard';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { CellDispatcher, type DispatchRequest, type SlotGrant } from '../src/index.js';
import { EndpointSlots } from '../src/endpoint-slots.js';
import { createServer, type Fault, percentile, VirtualCell } from './virtual-cell.js';

const FAULT_AT = 4000;
const ZONE_SERVERS = 8;

const success = {
  kind: 'success',
  routeName: 'route',
  organisation: 'organisation',
  milliseconds: 20,
  draining: false,
} as const;

function createSlots(): EndpointSlots {
  const slots = new EndpointSlots(createServer(0, 2));
  slots.acquire(0, false);
  slots.acquire(0, false);
  return slots;
}

test('does not count own requests as load of other dispatchers when responses arrive out of order', () => {
  const slots = createSlots();
  slots.release(success, false, 100);
  const reportedLoad = { inFlight: 2, queued: 0 };
  slots.release({ ...success, reportedLoad }, false, 101);
  assert.equal(slots.otherDispatchersInFlight(101), 0);
  assert.equal(slots.usableSlots(101, 1), 2);
});

test('leaves slots to other dispatchers whose requests the endpoint reports', () => {
  const slots = createSlots();
  slots.release({ ...success, reportedLoad: { inFlight: 2, queued: 1 } }, false, 100);
  assert.equal(slots.otherDispatchersInFlight(100), 1);
  assert.equal(slots.usableSlots(100, 1), 1);
  assert.equal(slots.usableSlots(1000, 1), 2, 'an expired report must be ignored');
});

test('lowers the limit of an endpoint that sheds a request, and raises it again', () => {
  const slots = createSlots();
  slots.release({ ...success, kind: 'shed' }, false, 100);
  assert.equal(slots.limit(101), 1);
  assert.equal(slots.limit(700), 2);
});

function createDispatcher(contract: Partial<model.Contract>, crashGuard?: CrashGuard) {
  return new CellDispatcher({
    cellName: 'service/region/0',
    servers: [0, 1, 2].map((index) => createServer(index, 2)),
    contract: model.contractSchema.parse(contract),
    now: () => 0,
    random: () => 0.5,
    schedule: () => () => {},
    crashGuard,
  });
}

function createRequest(fields: Partial<DispatchRequest> = {}): DispatchRequest {
  return {
    requestId: 'request',
    service: 'service',
    routeName: 'route',
    organisation: 'organisation',
    sizeClass: 'short',
    priority: 1,
    deadlineAt: 2000,
    originZone: 'zone-a',
    excludedEndpoints: new Set(),
    signal: new AbortController().signal,
    ...fields,
  };
}

function assertRejectsWith(attempt: Promise<SlotGrant>, kind: results.ResultName): Promise<void> {
  return assert.rejects(attempt, (error) => results.toFailure(error).kind === kind);
}

test('refuses only the request that was in flight at two lost servers', async () => {
  const crashGuard = new CrashGuard({ now: () => 0, origin: 'origin' });
  const dispatcher = createDispatcher({}, crashGuard);
  const fingerprint = { organisation: 'organisation', digest: 'digest' };
  const names = ['server-0', 'server-1', 'server-2'];
  for (const lost of names.slice(0, 2)) {
    const excludedEndpoints = new Set(names.filter((name) => name !== lost));
    const crashing = await dispatcher.acquire(createRequest({ fingerprint, excludedEndpoints }));
    const bystander = { organisation: 'other', digest: `bystander of ${lost}` };
    const request = createRequest({ fingerprint: bystander, excludedEndpoints });
    const refused = await dispatcher.acquire(request);
    crashing.release({ ...success, kind: 'reset' });
    refused.release({ ...success, kind: 'refused' });
  }
  await assertRejectsWith(dispatcher.acquire(createRequest({ fingerprint })), 'CrashingRequest');
  const otherFingerprint = { organisation: 'other', digest: 'digest' };
  (await dispatcher.acquire(createRequest({ fingerprint: otherFingerprint }))).release(success);
});

function createCell(seed: number): VirtualCell {
  return new VirtualCell({
    seed,
    endpoints: 25,
    slots: 2,
    drawServiceTime: (cell) => cell.exponential(20),
  });
}

const failing: Fault = (_request, serviceTime) => ({
  kind: 'server-error',
  milliseconds: serviceTime,
});

test('a dispatcher without health history ejects no endpoint at 70% load and keeps waits short', async () => {
  for (const seed of [1, 2, 3]) {
    const cell = createCell(seed);
    cell.generateLoad(() => 1750, 3000);
    await cell.events.runUntil(4000);
    assert.deepEqual(cell.changes, [], `seed ${seed}`);
    assert.equal(cell.statistics.inTime, cell.statistics.offered);
    assert.ok(percentile(cell.statistics.shortWaits, 0.99) < 50);
  }
});

test('ejects all endpoints of a lost zone, 8 of 25, within 3 s', async () => {
  for (const seed of [1, 2, 3]) {
    const cell = createCell(seed);
    cell.generateLoad(() => 1250, FAULT_AT + 3000);
    const lost = cell.servers.filter(({ zone }) => zone === 'zone-c').slice(0, ZONE_SERVERS);
    cell.events.schedule(
      () => lost.forEach(({ name }) => cell.faults.set(name, failing)),
      FAULT_AT,
    );
    await cell.events.runUntil(FAULT_AT + 3000);
    for (const { name } of lost) {
      assert.notEqual(cell.findEjection(name, FAULT_AT), undefined, `${name}, seed ${seed}`);
    }
    assert.equal(cell.changes.filter(({ kind }) => kind === 'ejected').length, lost.length);
  }
});
