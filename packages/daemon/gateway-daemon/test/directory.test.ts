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
  directory.replaceEndpoints(endpoints, { era: 0, revision: 10 }, 'store');
  directory.replaceEndpoints(endpoints, { era: 0, revision: 14 }, 'peer');
  directory.adoptPosition({ era: 0, revision: 14 });
  assert.equal(directory.position.revision, 14);
  directory.adoptPosition({ era: 0, revision: 12 });
  assert.equal(directory.position.revision, 14);
  assert.equal(changes, 1);
});

test('the changes since each earlier revision lead to the same endpoints', () => {
  const create = (): Directory =>
    new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const source = create();
  const followers = [];
  const initial = Array.from({ length: 12 }, (_, index) => createEndpoint(`e${index}`));
  source.replaceEndpoints(initial, { era: 0, revision: 100 }, 'store');
  for (let step = 0; step < 60; step += 1) {
    const follower = create();
    follower.replaceEndpoints(source.listStored(), source.position, 'peer');
    followers.push(follower);
    const id = `e${(step * 7) % 15}`;
    const isListed = source.findLifetime(id) !== undefined;
    const puts = step % 3 === 0 && isListed ? [] : [{ ...createEndpoint(id), lifetime: step }];
    source.changeEndpoints(
      puts,
      puts.length === 0 ? [id] : [],
      { era: 0, revision: 101 + step },
      'store',
    );
  }
  for (const follower of followers) {
    const changes = source.listChangesSince(follower.position);
    assert.ok(changes !== undefined);
    const { puts, removed } = changes;
    follower.changeEndpoints(puts, removed, source.position, 'peer');
    const list = (directory: Directory): string[] =>
      directory.listStored().map((endpoint) => JSON.stringify(endpoint));
    assert.deepEqual(list(follower).sort(), list(source).sort());
  }
  assert.equal(
    source.listChangesSince({ era: 0, revision: 99 }),
    undefined,
    'what changed before the first read',
  );
});

test('the revision at which an endpoint began to drain is known, also to a daemon that got the change from another', () => {
  const create = (): Directory =>
    new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const [source, follower] = [create(), create()];
  const draining = { ...createEndpoint('two'), draining: true };
  for (const directory of [source, follower]) {
    directory.replaceEndpoints(
      [createEndpoint('one'), draining],
      { era: 0, revision: 10 },
      'store',
    );
  }
  assert.equal(source.history.drainRevision, 0, 'drained before the first read');
  source.changeEndpoints(
    [{ ...createEndpoint('one'), draining: true }],
    [],
    { era: 0, revision: 12 },
    'store',
  );
  source.changeEndpoints([createEndpoint('three')], [], { era: 0, revision: 13 }, 'store');
  assert.equal(source.history.drainRevision, 12);
  follower.replaceEndpoints(source.listStored(), source.position, 'peer');
  assert.equal(follower.history.drainRevision, 13);
});

// Guards against changes of a lost history, which a daemon would take for those that it lacks.
test('changes are listed within an era only, and an earlier era is not adopted', () => {
  const directory = createDirectory(-Infinity);
  directory.changeEndpoints([createEndpoint('three')], [], { era: 0, revision: 20 }, 'store');
  directory.replaceEndpoints([createEndpoint('one')], { era: 1, revision: 15 }, 'store');
  directory.changeEndpoints([createEndpoint('four')], [], { era: 1, revision: 17 }, 'store');
  assert.equal(directory.listChangesSince({ era: 0, revision: 16 }), undefined);
  assert.equal(directory.listChangesSince({ era: 1, revision: 14 }), undefined);
  const changes = directory.listChangesSince({ era: 1, revision: 15 });
  assert.deepEqual(listIds(changes?.puts ?? []), ['four']);
  directory.adoptPosition({ era: 0, revision: 30 });
  assert.deepEqual(directory.position, { era: 1, revision: 17 });
  directory.close();
});
