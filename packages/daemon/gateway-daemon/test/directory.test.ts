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
  directory.replaceEndpoints(
    [createEndpoint('one'), createEndpoint('two')],
    { era: 0, revision: 10 },
    'store',
  );
  return directory;
}

// Guards against endpoints that left and are used by all daemons, because one daemon keeps them and publishes its list.
test('an endpoint that is kept after an outage is used here only, for a limited time', async () => {
  const directory = createDirectory(performance.now() + TOLERANCE_MILLISECONDS);
  directory.replaceEndpoints([createEndpoint('two')], { era: 0, revision: 11 }, 'store');
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two']);
  assert.deepEqual(listIds(directory.listStored()), ['two']);
  await delay(TOLERANCE_MILLISECONDS + 50);
  assert.deepEqual(listIds(directory.listAll()), ['two']);
  assert.equal(directory.position.revision, 11, 'the revision is one that the store gave');
  directory.close();
});

test('an endpoint whose entry returns in time is listed again at the new revision', async () => {
  const directory = createDirectory(performance.now() + TOLERANCE_MILLISECONDS);
  directory.changeEndpoints([], ['one'], { era: 0, revision: 11 }, 'store');
  directory.changeEndpoints([createEndpoint('one')], [], { era: 0, revision: 12 }, 'store');
  assert.equal(directory.position.revision, 12);
  await delay(TOLERANCE_MILLISECONDS + 50);
  assert.deepEqual(listIds(directory.listStored()), ['one', 'two']);
  directory.close();
});

test('an endpoint that was draining is known to leave after its removal, until its id starts again', () => {
  const directory = createDirectory(-Infinity);
  const draining = { ...createEndpoint('one'), draining: true };
  directory.changeEndpoints([draining], [], { era: 0, revision: 11 }, 'store');
  assert.equal(directory.isLeaving('one', 1), true);
  assert.equal(directory.isLeaving('one', 2), false);
  directory.changeEndpoints([], ['one', 'two'], { era: 0, revision: 12 }, 'store');
  assert.equal(directory.isLeaving('one', 1), true);
  assert.equal(directory.isLeaving('two', 1), false, 'an entry that only expired');
  directory.changeEndpoints(
    [{ ...draining, draining: false }],
    [],
    { era: 0, revision: 13 },
    'store',
  );
  assert.equal(directory.isLeaving('one', 1), false);
});

// Guards against a response of the store that waited while the process was suspended and undoes what a peer knew.
test('changes up to an older revision than that of the endpoints are ignored', () => {
  const directory = createDirectory(-Infinity);
  directory.replaceEndpoints([createEndpoint('two')], { era: 0, revision: 20 }, 'peer');
  assert.equal(
    directory.changeEndpoints([createEndpoint('one')], [], { era: 0, revision: 15 }, 'store'),
    false,
  );
  assert.deepEqual(listIds(directory.listAll()), ['two']);
  assert.equal(directory.position.revision, 20);
  assert.equal(
    directory.changeEndpoints([createEndpoint('one')], [], { era: 0, revision: 21 }, 'store'),
    true,
  );
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two']);
});

const DRAINING = { ...createEndpoint('one'), draining: true };
/** Longer than endpoints take to write entries again that the store lost. */
const WRITTEN_AGAIN_MILLISECONDS = 2500;

// Guards against a daemon that ignores the store, because its revisions are lower after it has lost changes.
test('the endpoints of a new era replace those of a higher revision', () => {
  const eras: number[] = [];
  const directory = new Directory({
    onConfiguration: () => {},
    onEndpoints: () => {},
    onNewEra: (era) => eras.push(era),
  });
  const both = [createEndpoint('one'), createEndpoint('two')];
  directory.replaceEndpoints(both, { era: 1, revision: 10 }, 'store');
  directory.replaceEndpoints(both, { era: 2, revision: 4 }, 'store');
  assert.deepEqual(directory.position, { era: 2, revision: 4 });
  assert.equal(directory.changeEndpoints([], ['one'], { era: 1, revision: 11 }, 'store'), false);
  directory.replaceEndpoints([createEndpoint('two')], { era: 1, revision: 12 }, 'peer');
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two'], 'an earlier era is ignored');
  assert.equal(directory.changeEndpoints([DRAINING], [], { era: 2, revision: 5 }, 'store'), true);
  assert.equal(directory.isLeaving('one', 1), true);
  assert.equal(directory.changeEndpoints([], ['one'], { era: 3, revision: 6 }, 'store'), false);
  assert.deepEqual(eras, [2], 'the first era is not new');
  directory.close();
});

// Guards against requests to endpoints that had left before the store lost their departure.
test('an endpoint that had left or was leaving is not used again before it was written again', () => {
  const directory = createDirectory(-Infinity);
  const stored = [createEndpoint('one'), createEndpoint('two'), createEndpoint('three')];
  directory.changeEndpoints([DRAINING], ['two'], { era: 0, revision: 20 }, 'store');
  directory.replaceEndpoints(stored, { era: 1, revision: 15 }, 'store');
  assert.deepEqual(listIds(directory.listAll()), ['one']);
  assert.equal(directory.listAll()[0]?.draining, true);
  assert.deepEqual(listIds(directory.listStored()), ['one', 'three', 'two']);
  assert.deepEqual(directory.listUnconfirmed().sort(), ['one', 'three', 'two']);
  directory.changeEndpoints([createEndpoint('three')], ['two'], { era: 1, revision: 16 }, 'store');
  assert.deepEqual(listIds(directory.listAll()), ['one', 'three']);
  assert.deepEqual(listIds(directory.listStored()), ['one', 'three']);
  directory.changeEndpoints([DRAINING], [], { era: 1, revision: 17 }, 'store');
  assert.deepEqual(directory.listUnconfirmed(), []);
  assert.equal(directory.listAll().find(({ id }) => id === 'one')?.draining, true);
  directory.close();
});

// Guards against the address of an ended process, which another endpoint may have by now.
test('an endpoint that had started again keeps its entry until it was written again', () => {
  const directory = createDirectory(-Infinity);
  const restarted = { ...createEndpoint('one'), lifetime: 2, address: '127.0.0.1:2' };
  directory.changeEndpoints([restarted], [], { era: 0, revision: 20 }, 'store');
  const copy = [createEndpoint('one'), createEndpoint('two')];
  directory.replaceEndpoints(copy, { era: 1, revision: 15 }, 'store');
  assert.equal(directory.findLifetime('one'), 2);
  directory.close();
});

// Guards against a time without endpoints while those whose entries were lost are running.
test('an endpoint that the store has lost is kept until it had time to write its entry again', async () => {
  const directory = createDirectory(-Infinity);
  directory.replaceEndpoints([createEndpoint('one')], { era: 1, revision: 5 }, 'store');
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two']);
  await delay(WRITTEN_AGAIN_MILLISECONDS);
  assert.deepEqual(listIds(directory.listAll()), ['one']);
  directory.close();
});

// Guards against an endpoint that stays unused, because it saw no reason to write its entry again.
test('an entry that is not written again takes effect after the time for that', async () => {
  const directory = createDirectory(-Infinity);
  const stored = [createEndpoint('one'), createEndpoint('two'), createEndpoint('three')];
  directory.replaceEndpoints(stored, { era: 1, revision: 5 }, 'store');
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two']);
  directory.replaceEndpoints(stored, { era: 1, revision: 6 }, 'peer');
  assert.deepEqual(listIds(directory.listAll()), ['one', 'two'], 'the same entry');
  await delay(WRITTEN_AGAIN_MILLISECONDS);
  assert.deepEqual(listIds(directory.listAll()), ['one', 'three', 'two']);
  assert.deepEqual(directory.listUnconfirmed(), []);
  directory.close();
});

// Guards against a store that loses changes a second time before the entries of the first were written again.
test('two eras that follow one another keep what was known before both', () => {
  const directory = createDirectory(-Infinity);
  const stored = [createEndpoint('one'), createEndpoint('two')];
  directory.changeEndpoints([DRAINING], ['two'], { era: 0, revision: 20 }, 'store');
  directory.replaceEndpoints(stored, { era: 1, revision: 15 }, 'store');
  directory.replaceEndpoints(stored, { era: 2, revision: 14 }, 'store');
  assert.deepEqual(listIds(directory.listAll()), ['one']);
  assert.equal(directory.isLeaving('one', 1), true);
  directory.close();
});
