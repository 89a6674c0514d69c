import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { Endpoint } from '@dogwoodstall/traffic';
import { Directory } from '../src/directory.js';

const TOLERANCE_MILLISECONDS = 200;

function createEndpoint(id: string): Endpoint {
  return {
    id,
    service: 'valuation',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 2,
    draining: false,
    warmUpMilliseconds: 0,
    lifetime: 1,
  };
}

function listIds(endpoints: readonly Endpoint[]): string[] {
  return endpoints.map(({ id }) => id).sort();
}

function createDirectory(toleranceEndsAt: number): Directory {
  const directory = new Directory({
    onConfiguration: () => {},
    onEndpoints: () => {},
    toleranceEndsAt: () => toleranceEndsAt,
  });
  directory.replaceEndpoints([createEndpoint('one'), createEndpoint('two')], 10, 'store');
  return directory;
}

// Guards against endpoints that left and are used by all daemons, because one daemon keeps them and publishes its list.
test('an endpoint that is kept after an outage is used here only, for a limited time', async () => {
  const directory = createDirectory(performance.now() + TOLERANCE_MILLISECONDS);
  directory.replaceEndpoints([createEndpoint('two')], 11, 'store');
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two']);
  assert.deepEqual(listIds(directory.listStored()), ['two']);
  await delay(TOLERANCE_MILLISECONDS + 50);
  assert.deepEqual(listIds(directory.listAll()), ['two']);
  assert.equal(directory.endpointRevision, 11, 'the revision is one that the store gave');
  directory.close();
});

test('an endpoint whose entry returns in time is listed again at the new revision', async () => {
  const directory = createDirectory(performance.now() + TOLERANCE_MILLISECONDS);
  directory.changeEndpoints([], ['one'], 11, 'store');
  directory.changeEndpoints([createEndpoint('one')], [], 12, 'store');
  assert.equal(directory.endpointRevision, 12);
  await delay(TOLERANCE_MILLISECONDS + 50);
  assert.deepEqual(listIds(directory.listStored()), ['one', 'two']);
  directory.close();
});

test('an endpoint that was draining is known to leave after its removal, until its id starts again', () => {
  const directory = createDirectory(-Infinity);
  const draining = { ...createEndpoint('one'), draining: true };
  directory.changeEndpoints([draining], [], 11, 'store');
  assert.equal(directory.isLeaving('one', 1), true);
  assert.equal(directory.isLeaving('one', 2), false);
  directory.changeEndpoints([], ['one', 'two'], 12, 'store');
  assert.equal(directory.isLeaving('one', 1), true);
  assert.equal(directory.isLeaving('two', 1), false, 'an entry that only expired');
  directory.changeEndpoints([{ ...draining, draining: false }], [], 13, 'store');
  assert.equal(directory.isLeaving('one', 1), false);
});

// Guards against a response of the store that waited while the process was suspended and undoes what a peer knew.
test('changes up to an older revision than that of the endpoints are ignored', () => {
  const directory = createDirectory(-Infinity);
  directory.replaceEndpoints([createEndpoint('two')], 20, 'peer');
  assert.equal(directory.changeEndpoints([createEndpoint('one')], [], 15, 'store'), false);
  assert.deepEqual(listIds(directory.listAll()), ['two']);
  assert.equal(directory.endpointRevision, 20);
  assert.equal(directory.changeEndpoints([createEndpoint('one')], [], 21, 'store'), true);
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two']);
});

// Guards against daemons that request all endpoints again with each ping, because each read them at another revision.
test('the revision of another daemon with the same endpoints is adopted without a change', () => {
  let changes = 0;
  const directory = new Directory({
    onConfiguration: () => {},
    onEndpoints: () => {
      changes += 1;
    },
  });
  const endpoints = [createEndpoint('one'), createEndpoint('two')];
  directory.replaceEndpoints(endpoints, 10, 'store');
  directory.replaceEndpoints(endpoints, 14, 'peer');
  directory.adoptRevision(14);
  assert.equal(directory.endpointRevision, 14);
  directory.adoptRevision(12);
  assert.equal(directory.endpointRevision, 14);
  assert.equal(changes, 1);
});

test('the changes since each earlier revision lead to the same endpoints', () => {
  const create = (): Directory =>
    new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const source = create();
  const followers = [];
  const initial = Array.from({ length: 12 }, (_, index) => createEndpoint(`e${index}`));
  source.replaceEndpoints(initial, 100, 'store');
  for (let step = 0; step < 60; step += 1) {
    const follower = create();
    follower.replaceEndpoints(source.listStored(), source.endpointRevision, 'peer');
    followers.push(follower);
    const id = `e${(step * 7) % 15}`;
    const isListed = source.findLifetime(id) !== undefined;
    const puts = step % 3 === 0 && isListed ? [] : [{ ...createEndpoint(id), lifetime: step }];
    source.changeEndpoints(puts, puts.length === 0 ? [id] : [], 101 + step, 'store');
  }
  for (const follower of followers) {
    const changes = source.listChangesSince(follower.endpointRevision);
    assert.ok(changes !== undefined);
    const { puts, removed } = changes;
    follower.changeEndpoints(puts, removed, source.endpointRevision, 'peer');
    const list = (directory: Directory): string[] =>
      directory.listStored().map((endpoint) => JSON.stringify(endpoint));
    assert.deepEqual(list(follower).sort(), list(source).sort());
  }
  assert.equal(source.listChangesSince(99), undefined, 'what changed before the first read');
});

test('the revision at which an endpoint began to drain is known, also to a daemon that got the change from another', () => {
  const create = (): Directory =>
    new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const [source, follower] = [create(), create()];
  const draining = { ...createEndpoint('two'), draining: true };
  for (const directory of [source, follower]) {
    directory.replaceEndpoints([createEndpoint('one'), draining], 10, 'store');
  }
  assert.equal(source.history.drainRevision, 0, 'drained before the first read');
  source.changeEndpoints([{ ...createEndpoint('one'), draining: true }], [], 12, 'store');
  source.changeEndpoints([createEndpoint('three')], [], 13, 'store');
  assert.equal(source.history.drainRevision, 12);
  follower.replaceEndpoints(source.listStored(), source.endpointRevision, 'peer');
  assert.equal(follower.history.drainRevision, 13);
});
