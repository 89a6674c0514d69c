import * as assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { createRoute, tokens } from './first-configuration.js';
import { Fixture } from './fixture.js';

const fixture = new Fixture();

before(async () => fixture.start());
after(async () => fixture.stop());

function putRoute(name: string, host: string): unknown {
  return { action: 'put', kind: 'route', entity: createRoute(name, 'shop', host) };
}

test('a concurrent change of the same entity is rejected with the difference and overwrites nothing', async () => {
  const baseRevision = fixture.log.changes.length;
  const first = await fixture.submit(tokens.operator, [putRoute('shop-root', 'one.example')]);
  assert.equal(first.body.revision, baseRevision + 1);
  const second = await fixture.submit(tokens.operator, [putRoute('shop-root', 'two.example')], {
    baseRevision,
  });
  assert.equal(second.status, 409);
  const [difference] = second.body.error?.difference ?? [];
  assert.equal(difference?.name, 'shop-root');
  assert.deepEqual(difference.before, createRoute('shop-root', 'shop', 'shop.example'));
  assert.deepEqual(difference.after, createRoute('shop-root', 'shop', 'one.example'));
  assert.equal(fixture.log.current.routes.get('shop-root')?.host, 'one.example');
});

test('a submission that loses the race at the store is a conflict when both change the same entity', async () => {
  const baseRevision = fixture.log.changes.length;
  fixture.log.beforeCommit = () => {
    fixture.log.append({
      id: 'other-writer',
      baseRevision,
      author: 'other',
      reason: 'test',
      operations: [{ action: 'remove', kind: 'route', name: 'shop-root' }],
    });
  };
  const response = await fixture.submit(tokens.operator, [putRoute('shop-root', 'three.example')]);
  assert.equal(response.status, 409);
  assert.equal(fixture.log.changes.length, baseRevision + 1);
  assert.equal(fixture.log.current.routes.has('shop-root'), false);
});

test('concurrent changes of different entities are both accepted, even by a daemon that lags behind', async () => {
  const baseRevision = fixture.log.changes.length;
  fixture.log.lagging = fixture.log.current;
  await fixture.submit(tokens.operator, [putRoute('left', 'left.example')], { baseRevision });
  const second = await fixture.submit(tokens.operator, [putRoute('right', 'right.example')], {
    baseRevision,
  });
  fixture.log.lagging = undefined;
  assert.equal(second.status, 200, JSON.stringify(second.body));
  assert.equal(second.body.revision, baseRevision + 2);
  assert.deepEqual(fixture.published.slice(-2), [baseRevision + 1, baseRevision + 2]);
});

test('a change whose response was lost is found by its id and not applied twice', async () => {
  const baseRevision = fixture.log.changes.length;
  const operations = [putRoute('lost', 'lost.example')];
  const options = { id: 'lost-change', baseRevision };
  fixture.log.nextCommit = 'lose-answer';
  const first = await fixture.submit(tokens.operator, operations, options);
  assert.equal(first.status, 504);
  assert.equal(first.body.error?.name, 'ConfigurationOutcomeUnknown');
  const second = await fixture.submit(tokens.operator, operations, options);
  assert.deepEqual(second.body, { id: 'lost-change', revision: baseRevision + 1, repeated: true });
  assert.equal(fixture.log.changes.length, baseRevision + 1);
});

test('of two changes that are only valid separately, the second is rejected', async () => {
  const baseRevision = fixture.log.changes.length;
  await fixture.submit(tokens.operator, [putRoute('a', 'same.example')], { baseRevision });
  const second = await fixture.submit(tokens.operator, [putRoute('b', 'same.example')], {
    baseRevision,
  });
  assert.equal(second.status, 400);
  assert.equal(second.body.error?.name, 'ConfigurationInvalid');
});

test('a change that leaves a dangling reference is rejected with result code and entity', async () => {
  const operations = [{ action: 'remove', kind: 'service', name: 'bank-web' }];
  const { status, body } = await fixture.submit(tokens.operator, operations);
  assert.equal(status, 400);
  assert.equal(body.error?.code, 6002);
  assert.match(body.error.message, /route\/bank-root/);
});

test('a preview returns the difference and changes nothing', async () => {
  const baseRevision = fixture.log.changes.length;
  const operations = [{ action: 'remove', kind: 'zone', name: 'zone-a' }];
  const path = '/v1/changes/preview';
  const { body } = await fixture.call(tokens.operator, 'POST', path, { baseRevision, operations });
  assert.deepEqual(body.difference, [
    { kind: 'zone', name: 'zone-a', before: { name: 'zone-a', region: 'north' }, after: null },
  ]);
  assert.equal(fixture.log.changes.length, baseRevision);
});

test('a rollback on an outdated base is a conflict', async () => {
  const { status, body } = await fixture.call(tokens.operator, 'POST', '/v1/rollback', {
    id: 'rollback-1',
    author: 'tester',
    reason: 'test',
    revision: 1,
    baseRevision: 1,
  });
  assert.equal(status, 409, JSON.stringify(body));
});

test('one entity is put and removed by path, and a name that differs from the path is rejected', async () => {
  const query = (): string => {
    const fields = { id: 'x'.repeat(8), author: 'a', reason: 'r' };
    const id = `put-${fixture.log.changes.length}-change`;
    const baseRevision = String(fixture.log.changes.length);
    return new URLSearchParams({ ...fields, id, baseRevision }).toString();
  };
  const path = '/v1/configuration/route/single';
  const entity = createRoute('single', 'shop', 'single.example');
  const put = await fixture.call(tokens.operator, 'PUT', `${path}?${query()}`, entity);
  assert.equal(put.status, 200, JSON.stringify(put.body));
  const renamed = { ...entity, name: 'other' };
  const rejected = await fixture.call(tokens.operator, 'PUT', `${path}?${query()}`, renamed);
  assert.equal(rejected.body.error?.name, 'AdministrationRequestInvalid');
  await fixture.call(tokens.operator, 'DELETE', `${path}?${query()}`);
  assert.equal(fixture.log.current.routes.has('single'), false);
});

test('a body above the size limit is rejected and does not exhaust memory', async () => {
  const { status, body } = await fixture.submit(tokens.operator, ['x'.repeat(2_200_000)]);
  assert.equal(status, 413);
  assert.equal(body.error?.name, 'ConfigurationTooLarge');
});

test('a body that is not a valid change is rejected with the invalid fields', async () => {
  const entity = { name: 'zone-b' };
  const { body } = await fixture.submit(tokens.operator, [{ action: 'put', kind: 'zone', entity }]);
  assert.equal(body.error?.name, 'ConfigurationInvalid');
  assert.match(body.error.message, /^operations\.0\.entity\.region: .*string/);
});

test('a submission while the store is unavailable reports that it changed nothing, also after a read timeout', async () => {
  for (const kind of ['StoreUnavailable', 'StoreTimeout'] as const) {
    const unavailable = new Fixture({
      readChanges: async () => {
        throw new results.FailureError(kind);
      },
    });
    await unavailable.start();
    const response = await unavailable.submit(tokens.operator, [putRoute('away', 'away.example')]);
    await unavailable.stop();
    assert.equal(response.body.error?.name, 'ConfigurationUnavailable');
    assert.equal(unavailable.log.changes.length, 1);
  }
});

test('an explanation names its daemon and the daemons to query next', async () => {
  const { body } = await fixture.call(tokens.operator, 'GET', '/v1/explain/known');
  assert.equal(body.daemon, 'daemon-1');
  assert.deepEqual(body.askNext, ['daemon-2']);
  const unknown = await fixture.call(tokens.operator, 'GET', '/v1/explain/unknown');
  assert.match(unknown.body.error?.message ?? '', /daemon "daemon-1" keeps no decision/);
});
