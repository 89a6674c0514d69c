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
