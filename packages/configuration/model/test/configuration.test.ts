import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import * as model from '../src/index.js';

const draft: model.ChangeDraftInput = {
  id: 'change-0001',
  baseRevision: 0,
  author: 'tester',
  reason: 'first service',
  operations: [
    { action: 'put', kind: 'zone', entity: { name: 'recife-a', region: 'nordeste' } },
    { action: 'put', kind: 'organisation', entity: { name: 'sertao' } },
    { action: 'put', kind: 'service', entity: { name: 'avaliacao', organisation: 'sertao' } },
    {
      action: 'put',
      kind: 'backendServer',
      entity: {
        name: 'avaliacao-1',
        service: 'avaliacao',
        address: '127.0.0.1:9000',
        zone: 'recife-a',
        slots: 2,
        connectionLimit: 330,
      },
    },
    {
      action: 'put',
      kind: 'route',
      entity: {
        name: 'prices',
        service: 'avaliacao',
        host: 'avaliacao.test',
        pathPrefix: '/prices',
        methods: ['GET'],
        idempotent: true,
      },
    },
  ],
};

function applyDraft(): model.Configuration {
  const change = {
    ...model.changeDraftSchema.parse(draft),
    revision: 1,
    acceptedAtEpochMilliseconds: 0,
  };
  return model.Configuration.empty().apply(change);
}

test('a route matches only whole path segments and its own methods', () => {
  const { routeTable } = applyDraft();
  assert.equal(routeTable.find('avaliacao.test', '/prices/17', 'GET')?.name, 'prices');
  assert.equal(routeTable.find('avaliacao.test', '/pricesextra', 'GET'), undefined);
  assert.equal(routeTable.find('avaliacao.test', '/prices', 'POST'), undefined);
  assert.equal(routeTable.find('other.test', '/prices', 'GET'), undefined);
});

test('a change that skips or repeats a revision is rejected, so that the revision never decreases', () => {
  const configuration = applyDraft();
  const stale = {
    ...model.changeDraftSchema.parse(draft),
    revision: 1,
    acceptedAtEpochMilliseconds: 0,
  };
  assert.throws(
    () => configuration.apply(stale),
    (error) => results.isFailure(error, 'RevisionReverted'),
  );
});

test('removing a service that a route and a backend server refer to is reported for both', () => {
  const next = applyDraft().preview([{ action: 'remove', kind: 'service', name: 'avaliacao' }]);
  const entities = model.validateConfiguration(next).map((problem) => problem.entity);
  assert.deepEqual(entities, ['backendServer/avaliacao-1', 'route/prices']);
});

test('a configuration restored from its own operations has the same entities', () => {
  const configuration = applyDraft();
  const restored = model.Configuration.fromOperations(1, configuration.toOperations());
  assert.deepEqual(restored.toOperations(), configuration.toOperations());
});

test('a large service is split into disjoint cells that cover every backend server', () => {
  const operations: model.Operation[] = [];
  for (let index = 0; index < 200; index += 1) {
    const entity = { ...applyDraft().backendServers.get('avaliacao-1')!, name: `server-${index}` };
    operations.push({ action: 'put', kind: 'backendServer', entity });
  }
  const cells = model.listCells(applyDraft().preview(operations), 'avaliacao', 'nordeste');
  const names = cells.flatMap((cell) => cell.servers.map((server) => server.name));
  assert.equal(cells.length, Math.ceil(402 / model.MAXIMUM_CELL_SLOTS));
  assert.equal(
    cells.reduce((total, cell) => total + cell.slots, 0),
    402,
  );
  assert.equal(new Set(names).size, 201);
  assert.equal(names.length, 201);
});
