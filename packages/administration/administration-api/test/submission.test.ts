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

test('a second operator on the same entity gets the difference and overwrites nothing', async () => {
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

test('a race that is lost at the store is a conflict when it concerns the same entity', async () => {
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
  const answer = await fixture.submit(tokens.operator, [putRoute('shop-root', 'three.example')]);
  assert.equal(answer.status, 409);
  assert.equal(fixture.log.changes.length, baseRevision + 1);
  assert.equal(fixture.log.current.routes.has('shop-root'), false);
});

test('a race between changes of different entities accepts both, also on a daemon that lags', async () => {
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

test('a change whose answer was lost is found by its id and is not made twice', async () => {
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

test('two changes that pass alone but not together are refused at the second', async () => {
  const baseRevision = fixture.log.changes.length;
  await fixture.submit(tokens.operator, [putRoute('a', 'same.example')], { baseRevision });
  const second = await fixture.submit(tokens.operator, [putRoute('b', 'same.example')], {
    baseRevision,
  });
  assert.equal(second.status, 400);
  assert.equal(second.body.error?.name, 'ConfigurationInvalid');
});

test('a dangling reference is refused with its code and entity', async () => {
  const operations = [{ action: 'remove', kind: 'service', name: 'bank-web' }];
  const { status, body } = await fixture.submit(tokens.operator, operations);
  assert.equal(status, 400);
  assert.equal(body.error?.code, 6002);
  assert.match(body.error.message, /route\/bank-root/);
});

test('a preview shows difference and problems and changes nothing', async () => {
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

test('an entity is put and removed alone, and its name can not differ from the path', async () => {
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
  const refused = await fixture.call(tokens.operator, 'PUT', `${path}?${query()}`, renamed);
  assert.equal(refused.body.error?.name, 'AdministrationRequestInvalid');
  await fixture.call(tokens.operator, 'DELETE', `${path}?${query()}`);
  assert.equal(fixture.log.current.routes.has('single'), false);
});

test('a body above the bound is refused and does not exhaust memory', async () => {
  const { status, body } = await fixture.submit(tokens.operator, ['x'.repeat(2_200_000)]);
  assert.equal(status, 413);
  assert.equal(body.error?.name, 'ConfigurationTooLarge');
});

test('a body that is no change is refused with the fields that are wrong', async () => {
  const entity = { name: 'zone-b' };
  const { body } = await fixture.submit(tokens.operator, [{ action: 'put', kind: 'zone', entity }]);
  assert.equal(body.error?.name, 'ConfigurationInvalid');
  assert.match(body.error.message, /^operations\.0\.entity\.region: .*string/);
});

test('a submission while the store is away is told that it changed nothing, also when the read timed out', async () => {
  for (const kind of ['StoreUnavailable', 'StoreTimeout'] as const) {
    const away = new Fixture({
      readChanges: async () => {
        throw new results.FailureError(kind);
      },
    });
    await away.start();
    const answer = await away.submit(tokens.operator, [putRoute('away', 'away.example')]);
    await away.stop();
    assert.equal(answer.body.error?.name, 'ConfigurationUnavailable');
    assert.equal(away.log.changes.length, 1);
  }
});

test('an explanation names its daemon and the dispatcher to ask next', async () => {
  const { body } = await fixture.call(tokens.operator, 'GET', '/v1/explain/known');
  assert.equal(body.daemon, 'daemon-1');
  assert.deepEqual(body.askNext, ['daemon-2']);
  const unknown = await fixture.call(tokens.operator, 'GET', '/v1/explain/unknown');
  assert.match(unknown.body.error?.message ?? '', /daemon "daemon-1" keeps no decision/);
});
