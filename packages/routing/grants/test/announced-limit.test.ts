/**
 * Endpoints that announce how many requests per second they accept from all daemons together, in virtual time.
 *
 * Pattern `announced-limit`: most endpoints of a cell announce limits below their usual share of the load.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Endpoint } from '@dogwoodstall/traffic';
import { SteadyLoad } from './steady-load.js';
import { VirtualService, createEndpoint } from './fixture.js';

/** The platform checks arrivals in any span of this length, from this long after the first announcement. */
const WINDOW_MILLISECONDS = 4000;
const STABILITY_MILLISECONDS = 3000;
const ALLOWED_MULTIPLE = 1.5;
const ALLOWED_EXTRA = 5;
const LIMITS = [0, 0.4, 1.2, 2.5, 3.5, 5.2, 6.6];

function assertWithinLimit(times: readonly number[], limit: number, from: number): void {
  const bound = times.filter((at) => at > from);
  const allowed = ALLOWED_MULTIPLE * limit * (WINDOW_MILLISECONDS / 1000) + ALLOWED_EXTRA;
  for (const [index, at] of bound.entries()) {
    const count = bound.slice(index).filter((other) => other < at + WINDOW_MILLISECONDS).length;
    assert.ok(count <= allowed, `${count} requests in 4 s at a limit of ${limit}/s`);
  }
}

function createEndpoints(count: number): Endpoint[] {
  return Array.from({ length: count }, (_, index) => createEndpoint(`e${index}`));
}

/** Seven of ten endpoints announce a limit. */
function findLimit({ id }: Endpoint): number | null {
  const index = Number(id.slice(1));
  return index % 10 < 7 ? (LIMITS[index % 7] as number) : null;
}

test('announced-limit: no endpoint gets more requests than it has announced, and all others are served', () => {
  const endpoints = createEndpoints(30);
  const load = new SteadyLoad(new VirtualService(endpoints));
  const startedAt = load.service.now;
  const { granted, refused } = load.run(20_000, findLimit);
  for (const endpoint of endpoints) {
    const limit = findLimit(endpoint);
    if (limit !== null) {
      const times = load.listGrants(endpoint.id);
      assertWithinLimit(times, limit, startedAt + STABILITY_MILLISECONDS);
      assert.ok(times.length > 3, `${endpoint.id} is still tried, to learn when its limit ends`);
    }
  }
  assert.ok(refused < granted / 100, `${refused} of ${granted} refused although there is room`);
});

test('announced-limit: an endpoint is used fully again soon after it no longer announces a limit', () => {
  const load = new SteadyLoad(new VirtualService(createEndpoints(8)));
  load.run(8000, () => 1);
  load.run(4000, () => null);
  const { granted, refused } = load.run(4000, () => null);
  assert.ok(granted > 550 && refused === 0, `${granted} granted, ${refused} refused after 4 s`);
});

test('announced-limit: requests above the sum of the limits are refused at once, with a time to return', () => {
  const load = new SteadyLoad(new VirtualService(createEndpoints(8)));
  load.run(5000, () => 5);
  const { granted, refused, waitedForRefusal } = load.run(4000, () => 5);
  assert.ok(granted > 4 * 8 * 5 * 0.8, `${granted} granted: the limits are used`);
  assert.ok(granted < 4 * 8 * 5 * 1.2, `${granted} granted: the limits are kept`);
  assert.ok(refused > 300, `${refused} refused`);
  assert.ok(waitedForRefusal < 60, `refused after ${waitedForRefusal} ms on average`);
  for (const decision of load.service.decisions.values()) {
    assert.ok(decision.kind === 'grant' || decision.retryAfter > 0);
  }
});

test('announced-limit: a dispatcher that takes over keeps the limits that the former one reported', () => {
  const endpoints = ['one', 'other'].map((id) => createEndpoint(id, { slots: 8 }));
  const load = new SteadyLoad(new VirtualService(endpoints));
  const startedAt = load.service.now;
  for (let handOver = 0; handOver < 12; handOver += 1) {
    load.run(1000, () => 2);
    const next = new VirtualService(endpoints);
    next.now = load.service.now;
    next.dispatcher.announcements.import(load.service.dispatcher.announcements.list(), 'former');
    load.handOver(next);
  }
  for (const endpoint of endpoints) {
    assertWithinLimit(load.listGrants(endpoint.id), 2, startedAt + STABILITY_MILLISECONDS);
  }
});

test('announced-limit: standbys that take over one after the other do not add up what the limits allow', () => {
  const endpoints = createEndpoints(8);
  const load = new SteadyLoad(new VirtualService(endpoints));
  const startedAt = load.service.now;
  const standbys = [1, 2, 3].map(() => new VirtualService(endpoints));
  const exchange = (): void => {
    for (const standby of standbys) {
      standby.now = load.service.now;
      const announcements = load.service.dispatcher.announcements.list();
      standby.dispatcher.announcements.import(announcements, 'active');
    }
  };
  for (let ping = 0; ping < 16; ping += 1) {
    load.run(450, () => 6);
    exchange();
  }
  for (let next = standbys.shift(); next !== undefined; next = standbys.shift()) {
    load.handOver(next);
    load.run(450, () => 6);
    exchange();
  }
  load.run(2500, () => 6);
  for (const endpoint of endpoints) {
    assertWithinLimit(load.listGrants(endpoint.id), 6, startedAt + STABILITY_MILLISECONDS);
  }
});

test('announced-limit: a daemon that grants beside the dispatcher of the cell uses a part of the limit', () => {
  const service = new VirtualService(createEndpoints(8));
  service.limitShare = 0.25;
  const load = new SteadyLoad(service);
  load.run(5000, () => 8);
  const { granted } = load.run(4000, () => 8);
  assert.ok(granted <= 4 * 8 * 8 * 0.25 * 1.2, `${granted} granted`);
});

test('announced-limit: what another dispatcher lists for an earlier process is not in force, and newer evidence ends a limit', () => {
  const service = new VirtualService([createEndpoint('one', { lifetime: 2 })]);
  const { announcements } = service.dispatcher;
  const relayed = { endpoint: 'one', requestsPerSecond: 3, leaving: false, lifetime: 2, age: 0 };
  announcements.import([{ ...relayed, lifetime: 1 }], 'former');
  assert.deepEqual(announcements.list(), []);
  announcements.import([{ ...relayed, age: 100 }], 'former');
  service.now += 10;
  announcements.import([{ ...relayed, requestsPerSecond: null, age: 200 }], 'other');
  assert.equal(announcements.list()[0]?.requestsPerSecond, 3, 'the end is older than the limit');
  announcements.import([{ ...relayed, requestsPerSecond: null, age: 5 }], 'other');
  assert.equal(announcements.list()[0]?.requestsPerSecond, null, 'the end is passed on');
  announcements.import([{ ...relayed, age: 50 }], 'former');
  assert.equal(announcements.list()[0]?.requestsPerSecond, null, 'the limit is older than its end');
  service.now += 11_000;
  assert.deepEqual(announcements.list(), []);
  assert.deepEqual(
    service.announcements.map(({ origin, source }) => `${origin} ${source}`),
    ['dispatcher former', 'dispatcher other'],
  );
});

test('announced-limit: a dispatcher that knows nothing does not end what the others know', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('success', 20, service.ask(), {
    requestsPerSecond: 3,
    leaving: false,
    pauseMilliseconds: 0,
  });
  service.now += 500;
  service.dispatcher.announcements.import([], 'uninformed');
  assert.equal(service.dispatcher.announcements.list()[0]?.requestsPerSecond, 3);
});

// Guards against limits that end with each pong of a daemon that knows none, while many daemons grant requests.
test('announced-limit: daemons that grant a few requests beside the dispatcher keep the limits, whoever tells them nothing', () => {
  const endpoints = createEndpoints(8);
  const main = new VirtualService(endpoints);
  const load = new SteadyLoad(main);
  const startedAt = load.service.now;
  const others = Array.from({ length: 10 }, () => new VirtualService(endpoints));
  for (let round = 0; round < 60; round += 1) {
    load.handOver(main);
    load.run(200, () => 2.6);
    const other = others[round % others.length] as VirtualService;
    other.now = load.service.now - 10;
    other.limitShare = 0.02;
    other.dispatcher.announcements.import(main.dispatcher.announcements.list(), 'dispatcher');
    other.now = load.service.now;
    other.dispatcher.announcements.import([], 'uninformed');
    load.handOver(other);
    load.run(60, () => 2.6);
  }
  for (const endpoint of endpoints) {
    assertWithinLimit(load.listGrants(endpoint.id), 2.6, startedAt + STABILITY_MILLISECONDS);
  }
});

test('announced-limit: what a daemon was told itself holds when it begins to dispatch', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 8 })]);
  const process = { endpoint: 'one', lifetime: 1 };
  const { announcements } = service.dispatcher;
  announcements.learn(process, { requestsPerSecond: 1, leaving: false }, service.now - 20, 'self');
  const granted = Array.from({ length: 6 }, () => service.ask()).filter(
    (key) => service.decisions.get(key)?.kind === 'grant',
  );
  assert.equal(granted.length, 0);
});

test('announced-limit: a daemon whose share grows gets no more for the time before', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 8 })]);
  service.limitShare = 0.01;
  service.run('success', 20, service.ask(), {
    requestsPerSecond: 8,
    leaving: false,
    pauseMilliseconds: 0,
  });
  service.now += 5000;
  service.limitShare = 1;
  const keys = Array.from({ length: 8 }, () => service.ask());
  const granted = keys.filter((key) => service.decisions.get(key)?.kind === 'grant');
  assert.ok(granted.length <= 1, `${granted.length} granted at once`);
});

test('announced-limit: endpoints that never announced anything are not told to other dispatchers', () => {
  const service = new VirtualService([createEndpoint('one')]);
  for (let count = 0; count < 3; count += 1) {
    service.run('success', 20);
  }
  assert.deepEqual(service.dispatcher.announcements.list(), []);
});
