/**
 * Tests of the dispatcher's slots, queue, limits and endpoint selection, and of the registry.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AttemptOutcome } from '@dogwoodstall/health';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import fastCheck from 'fast-check';
import {
  CellDispatcher,
  DispatcherRegistry,
  type DispatchRequest,
  type SlotGrant,
} from '../src/index.js';
import { EventQueue } from './event-queue.js';
import { createServer, VirtualCell } from './virtual-cell.js';

const success: AttemptOutcome = {
  kind: 'success',
  routeName: 'route',
  organisation: 'organisation',
  milliseconds: 10,
  draining: false,
};

async function getRefusalKind(promise: Promise<unknown>): Promise<string> {
  const error: unknown = await promise.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  return results.toFailure(error).kind;
}

function createCell(endpoints: number, contract: Partial<model.Contract> = {}): VirtualCell {
  return new VirtualCell({ seed: 1, endpoints, slots: 1, contract, drawServiceTime: () => 10 });
}

test('never grants more slots than an endpoint has, nor any slot of a draining one', async (context) => {
  const violations: results.Failure[] = [];
  results.setViolationListener((violation) => violations.push(violation));
  context.after(() => results.setViolationListener(undefined));
  const stepArbitrary = fastCheck.record({
    action: fastCheck.constantFrom('acquire', 'acquire', 'release', 'shed', 'drain', 'update'),
    index: fastCheck.nat({ max: 5 }),
    slots: fastCheck.integer({ min: 1, max: 3 }),
  });
  const stepsArbitrary = fastCheck.array(stepArbitrary, { maxLength: 80 });
  const property = fastCheck.asyncProperty(stepsArbitrary, async (steps) => {
    const events = new EventQueue();
    const heldGrants: SlotGrant[] = [];
    const usedSlots = new Map<string, number>();
    const drainedEndpoints = new Set<string>();
    let servers = [0, 1, 2].map((index) => createServer(index, 2));
    const dispatcher = new CellDispatcher({
      cellName: 'service/region/0',
      servers,
      contract: model.contractSchema.parse({}),
      now: events.now,
      random: () => 0.5,
      schedule: events.schedule,
    });
    const recordGrant = (grant: SlotGrant): void => {
      const { name, slots } = grant.endpoint;
      assert.ok(!drainedEndpoints.has(name), `${name} is draining`);
      heldGrants.push(grant);
      usedSlots.set(name, (usedSlots.get(name) ?? 0) + 1);
      assert.ok((usedSlots.get(name) ?? 0) <= slots);
    };
    const template = createCell(1).createRequest();
    for (const { action, index, slots } of steps) {
      if (action === 'acquire') {
        const request = { ...template, deadlineAt: events.time + 1000 };
        dispatcher.acquire(request).then(recordGrant, () => {});
      } else if (action === 'drain') {
        drainedEndpoints.add(`server-${index}`);
        dispatcher.markDraining(`server-${index}`);
      } else if (action === 'update') {
        servers = servers.map((server, at) => (at === index ? { ...server, slots } : server));
        dispatcher.updateEndpoints(servers);
      } else {
        const [grant] = heldGrants.splice(index % Math.max(1, heldGrants.length), 1);
        if (grant !== undefined) {
          usedSlots.set(grant.endpoint.name, (usedSlots.get(grant.endpoint.name) ?? 0) - 1);
          grant.release({ ...success, kind: action === 'shed' ? 'shed' : 'success' });
          grant.release(success);
        }
      }
      await events.runUntil(events.time + 20);
    }
    assert.deepEqual(violations, []);
    const inFlight = dispatcher.snapshot().endpoints.map((endpoint) => endpoint.inFlight);
    assert.equal(
      inFlight.reduce((sum, count) => sum + count, 0),
      heldGrants.length,
    );
  });
  await fastCheck.assert(property, { seed: 4, numRuns: 100 });
});

test('frees the queue places of cancelled and expired requests', async () => {
  const cell = createCell(1);
  const { dispatcher } = cell;
  const first = await dispatcher.acquire(cell.createRequest());
  const controller = new AbortController();
  const cancelled = getRefusalKind(
    dispatcher.acquire(cell.createRequest({ signal: controller.signal })),
  );
  const expired = getRefusalKind(dispatcher.acquire(cell.createRequest({ deadlineAt: 300 })));
  controller.abort();
  assert.equal(await cancelled, 'CancelledInQueue');
  await cell.events.runUntil(400);
  assert.equal(await expired, 'DeadlineInQueue');
  assert.equal(dispatcher.snapshot().waitingShort, 0);
  first.release(success);
  await dispatcher.acquire(cell.createRequest());
});

test('evicts a request of lower priority from a full queue, and keeps one of higher priority', async () => {
  const cell = createCell(1, { queueLimit: 1 });
  const { dispatcher } = cell;
  const first = await dispatcher.acquire(cell.createRequest());
  const unimportant = getRefusalKind(dispatcher.acquire(cell.createRequest({ priority: 3 })));
  const important = dispatcher.acquire(cell.createRequest({ priority: 0 }));
  assert.equal(await unimportant, 'ShedByPriority');
  const further = dispatcher.acquire(cell.createRequest({ priority: 3 }));
  assert.equal(await getRefusalKind(further), 'QueueFull');
  first.release(success);
  await important;
});

test('refuses only the organisation that exceeds its concurrency limit', async () => {
  const cell = createCell(9, { organisationRatePerSecond: 3, organisationConcurrency: 2 });
  const acquire = (organisation: string): Promise<SlotGrant> =>
    cell.dispatcher.acquire(cell.createRequest({ organisation }));
  const first = await acquire('one');
  await acquire('one');
  assert.equal(await getRefusalKind(acquire('one')), 'OrganisationConcurrencyExceeded');
  first.release(success);
  await acquire('other');
});

test('prefers an idle endpoint over the origin zone, and the origin zone among idle ones', async () => {
  const cell = createCell(3);
  const request = (): DispatchRequest => cell.createRequest({ originZone: 'zone-b' });
  const first = await cell.dispatcher.acquire(request());
  assert.equal(first.endpoint.zone, 'zone-b');
  const second = await cell.dispatcher.acquire(request());
  assert.notEqual(second.endpoint.name, first.endpoint.name);
  const excludedEndpoints = new Set(cell.servers.map(({ name }) => name));
  const excluded = cell.dispatcher.acquire({ ...request(), excludedEndpoints });
  assert.equal(await getRefusalKind(excluded), 'NoEndpoint');
});

test('sends no new request to an endpoint whose response reports that it is draining', async () => {
  const cell = createCell(2);
  const grant = await cell.dispatcher.acquire(cell.createRequest());
  grant.release({ ...success, draining: true });
  const next = await cell.dispatcher.acquire(cell.createRequest());
  assert.notEqual(next.endpoint.name, grant.endpoint.name);
});

test('creates dispatchers on demand, applies a new configuration and closes idle dispatchers', async () => {
  const events = new EventQueue();
  const contract = model.contractSchema.parse({});
  const operations = [
    { action: 'put', kind: 'zone', entity: { name: 'zone-a', region: 'region' } },
    { action: 'put', kind: 'service', entity: { name: 'service', organisation: 'o', contract } },
    { action: 'put', kind: 'backendServer', entity: createServer(0, 1) },
    { action: 'put', kind: 'backendServer', entity: createServer(3, 1) },
  ] as const;
  const configuration = model.Configuration.fromOperations(1, operations);
  const { now, schedule } = events;
  const registry = new DispatcherRegistry({ configuration, now, schedule, random: () => 0 });
  assert.throws(() => registry.getOrCreate('service/elsewhere/0'), results.FailureError);
  registry.markDraining('server-0');
  const cell = registry.getOrCreate('service/region/0');
  const grant = await cell.acquire(createCell(1).createRequest());
  assert.equal(grant.endpoint.name, 'server-3');
  const remove = { action: 'remove', kind: 'backendServer', name: 'server-3' } as const;
  registry.updateConfiguration(configuration.preview([remove]));
  const refused = cell.acquire(createCell(1).createRequest());
  assert.equal(await getRefusalKind(refused), 'NoEndpoint');
  grant.release(success);
  events.time += 200_000;
  assert.deepEqual(registry.dropIdle(), ['service/region/0']);
});
