import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as configurationLog from '../src/index.js';
import { MemoryStore } from './memory-store.js';

function createDraft(id: string, baseRevision: number): model.ChangeDraftInput {
  const entity = { name: `zone-${id}`, region: 'nordeste' };
  const operations = [{ action: 'put' as const, kind: 'zone' as const, entity }];
  return { id, baseRevision, author: 'tester', reason: 'test', operations };
}

async function commitChanges(log: configurationLog.ConfigurationLog, count: number): Promise<void> {
  for (let revision = 0; revision < count; revision += 1) {
    const result = await log.commit(createDraft(`change-${revision}`, revision));
    assert.equal(result.kind, 'accepted');
  }
}

function createOrganisations(count: number, callerTokenDigests: string[]): model.Operation[] {
  return Array.from({ length: count }, (_, index) => ({
    action: 'put',
    kind: 'organisation',
    entity: {
      name: `organisation-${index}`,
      weight: 1,
      administratorTokenDigests: [],
      callerTokenDigests,
    },
  }));
}

test('a commit whose response was lost is detected and not applied twice', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  store.faults.push('lost-answer');
  const result = await log.commit(createDraft('change-a', 0));
  assert.equal(result.kind, 'accepted');
  assert.deepEqual(
    (await log.readChanges(0, 10)).map((change) => change.id),
    ['change-a'],
  );
});

test('a commit whose request was lost is retried', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  store.faults.push('lost-request');
  assert.equal((await log.commit(createDraft('change-a', 0))).kind, 'accepted');
});

test('a commit without a response has an unknown outcome until the same id is committed again', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  store.faults.push('lost-answer', ...Array<'lost-request'>(4).fill('lost-request'));
  await assert.rejects(log.commit(createDraft('change-a', 0)), (error) =>
    results.isFailure(error, 'ConfigurationOutcomeUnknown'),
  );
  assert.equal((await log.commit(createDraft('change-b', 1))).kind, 'accepted');
  const repeated = await log.commit(createDraft('change-a', 0));
  assert.ok(repeated.kind === 'accepted' && repeated.change.revision === 1);
});

test('of two concurrent writers, one receives a conflict with the change of the other', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  store.beforeTransaction = async () => {
    store.beforeTransaction = undefined;
    await log.commit(createDraft('change-a', 0));
  };
  const result = await log.commit(createDraft('change-b', 0));
  assert.ok(result.kind === 'conflict');
  assert.deepEqual(
    result.changes.map((change) => change.id),
    ['change-a'],
  );
  assert.equal((await log.readLatest()).revision, 1);
});

test('a change above the size limit and a dangling reference are rejected before the commit', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  const operations = createOrganisations(5000, Array<string>(3).fill('a'.repeat(64)));
  await assert.rejects(log.commit({ ...createDraft('change-large', 0), operations }), (error) =>
    results.isFailure(error, 'ConfigurationTooLarge'),
  );
  const dangling: model.ChangeDraftInput = {
    ...createDraft('change-dangling', 0),
    operations: [
      { action: 'put', kind: 'service', entity: { name: 'a', organisation: 'missing' } },
    ],
  };
  await assert.rejects(log.commit(dangling), (error) =>
    results.isFailure(error, 'ConfigurationReference'),
  );
  assert.equal(store.entries.size, 0);
});

test('a missing revision in the store is an error instead of a gap', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  await commitChanges(log, 3);
  store.entries.delete('dogwoodstall/changes/000000000002');
  await assert.rejects(log.readChanges(0, 10), (error) =>
    results.isFailure(error, 'StoreValueInvalid'),
  );
});

test('a reader yields changes that were committed before and after it started', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  await commitChanges(log, 60);
  const stopping = new AbortController();
  const changes = log.follow(0, stopping.signal);
  for (let revision = 1; revision <= 60; revision += 1) {
    const step = await changes.next();
    assert.equal(step.value?.revision, revision);
  }
  const next = changes.next();
  await log.commit(createDraft('change-later', 60));
  assert.equal((await next).value?.revision, 61);
  stopping.abort();
});

test('a new reader starts from a snapshot in parts, and parts of older snapshots are removed', async () => {
  const store = new MemoryStore();
  const log = new configurationLog.ConfigurationLog({ store });
  const operations = createOrganisations(31_000, ['b'.repeat(64)]);
  await log.writeSnapshot(model.Configuration.fromOperations(200, operations));
  const snapshot = model.Configuration.fromOperations(400, operations);
  assert.equal(await log.writeSnapshot(snapshot), 400);
  const keys = [...store.entries.keys()].filter((key) => key.includes('snapshot-parts'));
  assert.ok(keys.length > 1 && keys.every((key) => key.includes('000000000400')));
  for (const entry of store.entries.values()) {
    assert.ok(Buffer.byteLength(entry.value) < 1_000_000);
  }
  const read = await log.readLatest();
  assert.equal(read.revision, 400);
  assert.equal(read.organisations.size, 31_000);
});
