import * as assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type * as model from '@dogwoodstall/model';
import { digestToken } from '../src/index.js';
import { createRoute, firstOperations, tokens } from './first-configuration.js';
import { Fixture, type ApiResponse } from './fixture.js';

const fixture = new Fixture();

before(async () => fixture.start());
after(async () => fixture.stop());

function findFirst(kind: string, name: string): Record<string, unknown> {
  for (const operation of firstOperations) {
    if (operation.action === 'put' && operation.kind === kind && operation.entity.name === name) {
      return operation.entity;
    }
  }
  return assert.fail(`${kind}/${name}`);
}

function expectForbidden({ status, body }: ApiResponse): void {
  assert.equal(status, 403, JSON.stringify(body));
  assert.equal(body.error?.name, 'AdministrationForbidden');
  assert.doesNotMatch(JSON.stringify(body), /bank/);
}

test('an unknown token is rejected with the result code in the body', async () => {
  const { status, body } = await fixture.call('wrong', 'GET', '/v1/configuration/service');
  assert.equal(status, 401);
  assert.equal(body.error?.code, 6007);
});

test('an organisation reads its own entities, and responses reveal nothing about other organisations', async () => {
  const { body } = await fixture.call(tokens.shop, 'GET', '/v1/configuration/service');
  const names = (body.entities as model.Service[]).map(({ name }) => name);
  assert.deepEqual(names, ['shop-web']);
  const ofOther = await fixture.call(tokens.shop, 'GET', '/v1/configuration/service/bank-web');
  const missing = await fixture.call(tokens.shop, 'GET', '/v1/configuration/service/nothing');
  expectForbidden(ofOther);
  assert.deepEqual(ofOther, missing);
  const { body: page } = await fixture.call(tokens.shop, 'GET', '/v1/changes');
  assert.doesNotMatch(JSON.stringify(page), /bank|zone/);
  assert.match(JSON.stringify(page), /shop-root/);
  const { body: status } = await fixture.call(tokens.shop, 'GET', '/v1/status');
  assert.deepEqual(status.zones, [{ zone: 'zone-a', revisionInForce: 1 }]);
});

const bankService = findFirst('service', 'bank-web');
const shopService = findFirst('service', 'shop-web');
const shop = findFirst('organisation', 'shop');

const forbidden: Record<string, readonly unknown[]> = {
  'change a foreign service': [{ action: 'put', kind: 'service', entity: bankService }],
  'remove a foreign route': [{ action: 'remove', kind: 'route', name: 'bank-root' }],
  'move a foreign service to itself': [
    { action: 'put', kind: 'service', entity: { ...bankService, organisation: 'shop' } },
  ],
  'give its service to another owner': [
    { action: 'put', kind: 'service', entity: { ...shopService, organisation: 'bank' } },
  ],
  'take a route that another organisation has': [
    { action: 'put', kind: 'route', entity: createRoute('new', 'shop', 'bank.example') },
  ],
  'take a part of a route that another organisation has': [
    {
      action: 'put',
      kind: 'route',
      entity: { ...createRoute('new', 'shop', 'bank.example'), pathPrefix: '/pages/login' },
    },
  ],
  'redirect a foreign route to its service': [
    { action: 'put', kind: 'route', entity: createRoute('bank-root', 'shop', 'x.example') },
  ],
  'add a route to a foreign service': [
    { action: 'put', kind: 'route', entity: createRoute('new', 'bank', 'x.example') },
  ],
  'change its weight': [{ action: 'put', kind: 'organisation', entity: { ...shop, weight: 9 } }],
  'change tokens of others': [
    { action: 'put', kind: 'organisation', entity: { ...shop, name: 'bank' } },
  ],
  'claim a token digest of others': [
    {
      action: 'put',
      kind: 'organisation',
      entity: { ...shop, callerTokenDigests: [digestToken('bank-caller')] },
    },
  ],
  'create an organisation': [{ action: 'put', kind: 'organisation', entity: { name: 'third' } }],
  'remove itself': [{ action: 'remove', kind: 'organisation', name: 'shop' }],
  'change a zone': [{ action: 'put', kind: 'zone', entity: { name: 'zone-a', region: 'x' } }],
};

for (const [title, operations] of Object.entries(forbidden)) {
  test(`an organisation can not ${title}`, async () => {
    const revision = fixture.log.changes.length;
    expectForbidden(await fixture.submit(tokens.shop, operations));
    const draft = { baseRevision: revision, operations };
    expectForbidden(await fixture.call(tokens.shop, 'POST', '/v1/changes/preview', draft));
    assert.equal(fixture.log.changes.length, revision);
  });
}

test('an organisation changes its own tokens, services and routes', async () => {
  const response = await fixture.submit(tokens.shop, [
    { action: 'put', kind: 'zone', entity: { name: 'zone-a', region: 'north' } },
    {
      action: 'put',
      kind: 'organisation',
      entity: { ...shop, callerTokenDigests: [digestToken('new-caller')] },
    },
    { action: 'put', kind: 'route', entity: createRoute('shop-two', 'shop', 'two.example') },
  ]);
  assert.equal(response.status, 200, JSON.stringify(response.body));
  assert.equal(fixture.log.changes.at(-1)?.author, 'organisation shop: tester');
});

test('even an operator can not assign one token to two organisations', async () => {
  const entity = { ...shop, callerTokenDigests: [digestToken('bank-caller')] };
  const operations = [{ action: 'put', kind: 'organisation', entity }];
  const { body } = await fixture.submit(tokens.operator, operations);
  assert.equal(body.error?.name, 'ConfigurationInvalid');
});

test('explanations and the daemon status are denied to tokens without authority over them', async () => {
  assert.equal((await fixture.call(tokens.shop, 'GET', '/v1/explain/known')).status, 200);
  const ofOther = await fixture.call(tokens.bank, 'GET', '/v1/explain/known');
  const missing = await fixture.call(tokens.bank, 'GET', '/v1/explain/unknown');
  assert.equal(ofOther.status, 403);
  assert.deepEqual(ofOther, missing);
  assert.equal((await fixture.call(tokens.shop, 'GET', '/v1/daemon')).status, 403);
  assert.equal((await fixture.call(tokens.operator, 'GET', '/v1/daemon')).status, 200);
});

test('a rollback by an organisation restores its own entities and no others', async () => {
  await fixture.submit(tokens.operator, [
    { action: 'put', kind: 'route', entity: createRoute('bank-two', 'bank', 'two.bank.example') },
    { action: 'put', kind: 'route', entity: createRoute('shop-three', 'shop', 'three.example') },
  ]);
  const baseRevision = fixture.log.changes.length;
  const response = await fixture.call(tokens.shop, 'POST', '/v1/rollback', {
    id: 'rollback-1',
    author: 'tester',
    reason: 'test',
    revision: baseRevision - 1,
    baseRevision,
  });
  assert.equal(response.status, 200, JSON.stringify(response.body));
  assert.equal(fixture.log.current.routes.has('shop-three'), false);
  assert.equal(fixture.log.current.routes.has('bank-two'), true);
});
