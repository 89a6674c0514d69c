/**
 * Slots, queue and registry under arbitrary sequences of events.
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

async function refusalOf(promise: Promise<unknown>): Promise<string> {
  const error: unknown = await promise.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  return results.toFailure(error).kind;
}

function createCell(endpoints: number, contract: Partial<model.Contract> = {}): VirtualCell {
  return new VirtualCell({ seed: 1, endpoints, slots: 1, contract, drawWork: () => 10 });
}

test('never grants more than the slots, nor anything to a draining endpoint', async (context) => {
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
    const held: SlotGrant[] = [];
    const used = new Map<string, number>();
    const drained = new Set<string>();
    let servers = [0, 1, 2].map((index) => createServer(index, 2));
    const dispatcher = new CellDispatcher({
      cellName: 'service/region/0',
      servers,
      contract: model.contractSchema.parse({}),
      now: events.now,
      random: () => 0.5,
      schedule: events.schedule,
    });
    const take = (grant: SlotGrant): void => {
      const { name, slots } = grant.endpoint;
      assert.ok(!drained.has(name), `${name} drains`);
      held.push(grant);
      used.set(name, (used.get(name) ?? 0) + 1);
      assert.ok((used.get(name) ?? 0) <= slots);
    };
    const template = createCell(1).createRequest();
    for (const { action, index, slots } of steps) {
      if (action === 'acquire') {
        const request = { ...template, deadlineAt: events.time + 1000 };
        dispatcher.acquire(request).then(take, () => {});
      } else if (action === 'drain') {
        drained.add(`server-${index}`);
        dispatcher.markDraining(`server-${index}`);
      } else if (action === 'update') {
        servers = servers.map((server, at) => (at === index ? { ...server, slots } : server));
        dispatcher.updateEndpoints(servers);
      } else {
        const [grant] = held.splice(index % Math.max(1, held.length), 1);
        if (grant !== undefined) {
          used.set(grant.endpoint.name, (used.get(grant.endpoint.name) ?? 0) - 1);
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
      held.length,
    );
  });
  await fastCheck.assert(property, { seed: 4, numRuns: 100 });
});

test('frees the place of a cancelled request and of an expired one', async () => {
  const cell = createCell(1);
  const { dispatcher } = cell;
  const first = await dispatcher.acquire(cell.createRequest());
  const controller = new AbortController();
  const cancelled = refusalOf(
    dispatcher.acquire(cell.createRequest({ signal: controller.signal })),
  );
  const expired = refusalOf(dispatcher.acquire(cell.createRequest({ deadlineAt: 300 })));
  controller.abort();
  assert.equal(await cancelled, 'CancelledInQueue');
  await cell.events.runUntil(400);
  assert.equal(await expired, 'DeadlineInQueue');
  assert.equal(dispatcher.snapshot().waitingShort, 0);
  first.release(success);
  await dispatcher.acquire(cell.createRequest());
});

test('displaces less important work when the queue is full, and keeps the rest', async () => {
  const cell = createCell(1, { queueLimit: 1 });
  const { dispatcher } = cell;
  const first = await dispatcher.acquire(cell.createRequest());
  const unimportant = refusalOf(dispatcher.acquire(cell.createRequest({ priority: 3 })));
  const important = dispatcher.acquire(cell.createRequest({ priority: 0 }));
  assert.equal(await unimportant, 'ShedByPriority');
  const further = dispatcher.acquire(cell.createRequest({ priority: 3 }));
  assert.equal(await refusalOf(further), 'QueueFull');
  first.release(success);
  await important;
});

test('refuses an organisation beyond its own rate and concurrency only', async () => {
  const cell = createCell(9, { organisationRatePerSecond: 3, organisationConcurrency: 2 });
  const acquire = (organisation: string): Promise<SlotGrant> =>
    cell.dispatcher.acquire(cell.createRequest({ organisation }));
  const first = await acquire('one');
  await acquire('one');
  assert.equal(await refusalOf(acquire('one')), 'OrganisationConcurrencyExceeded');
  first.release(success);
  await acquire('other');
});

test('prefers an idle endpoint to the zone, and the zone among equally loaded ones', async () => {
  const cell = createCell(3);
  const request = (): DispatchRequest => cell.createRequest({ originZone: 'zone-b' });
  const first = await cell.dispatcher.acquire(request());
  assert.equal(first.endpoint.zone, 'zone-b');
  const second = await cell.dispatcher.acquire(request());
  assert.notEqual(second.endpoint.name, first.endpoint.name);
  const excludedEndpoints = new Set(cell.servers.map(({ name }) => name));
  const excluded = cell.dispatcher.acquire({ ...request(), excludedEndpoints });
  assert.equal(await refusalOf(excluded), 'NoEndpoint');
});

test('stops new work at an endpoint whose answer says that it drains', async () => {
  const cell = createCell(2);
  const grant = await cell.dispatcher.acquire(cell.createRequest());
  grant.release({ ...success, draining: true });
  const next = await cell.dispatcher.acquire(cell.createRequest());
  assert.notEqual(next.endpoint.name, grant.endpoint.name);
});

test('creates cells on demand, follows the configuration and drops idle cells', async () => {
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
  assert.throws(() => registry.open('service/elsewhere/0'), results.FailureError);
  registry.markDraining('server-0');
  const cell = registry.open('service/region/0');
  const grant = await cell.acquire(createCell(1).createRequest());
  assert.equal(grant.endpoint.name, 'server-3');
  const remove = { action: 'remove', kind: 'backendServer', name: 'server-3' } as const;
  registry.updateConfiguration(configuration.preview([remove]));
  const refused = cell.acquire(createCell(1).createRequest());
  assert.equal(await refusalOf(refused), 'NoEndpoint');
  grant.release(success);
  events.time += 200_000;
  assert.deepEqual(registry.dropIdle(), ['service/region/0']);
});
