/**
 * Records of crashing requests in the store, shared by some daemons.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type * as grants from '@dogwoodstall/grants';
import { createSilentLog } from '@dogwoodstall/observability';
import { CrashRecordStore } from '../src/crash-record-store.js';
import { MemorySource } from './memory-source.js';
import { MemoryStore } from './memory-store.js';
import { waitUntil } from './fleet.js';

const SAVED_MILLISECONDS = 3000;
/** Longer than the wait of the last daemon that collects the evidence of a request. */
const ALL_SAVED_MILLISECONDS = 2000;
const RETENTION_MILLISECONDS = 600_000;

/** Clocks that differ between daemons, as the steady clocks of VMs do. */
interface Clocks {
  readonly steady: () => number;
  wallOffset: number;
}

class StoringDaemon {
  readonly clocks: Clocks;

  readonly source: MemorySource;

  readonly loaded: grants.CrashRecord[] = [];

  readonly records: CrashRecordStore;

  constructor(store: MemoryStore, steadyOffset: number) {
    this.clocks = { steady: () => performance.now() + steadyOffset, wallOffset: 0 };
    this.source = new MemorySource(store);
    this.records = new CrashRecordStore({
      source: this.source,
      onLoaded: (records) => this.loaded.push(...records),
      now: this.clocks.steady,
      wallClock: () => Date.now() + this.clocks.wallOffset,
      logger: createSilentLog().getLogger('store'),
    });
  }

  createRecord(fingerprint: string, crashes: number): grants.CrashRecord {
    const now = this.clocks.steady();
    const evidence = Array.from({ length: crashes }, (_, index) => ({
      ...{ endpoint: `endpoint-${index}`, lifetime: 1, weight: 1 },
      ...{ source: '10.0.0.1', at: now - index },
    }));
    return { fingerprint, evidence, clearedAt: -Infinity, lastAt: now };
  }
}

async function load(store: MemoryStore): Promise<StoringDaemon> {
  const daemon = new StoringDaemon(store, 1_000_000);
  daemon.records.load();
  await waitUntil('the records are read', () => daemon.source.calls > 0, 1000);
  await delay(10);
  return daemon;
}

test('a record outlives all daemons, with the age of its crashes', async () => {
  const store = new MemoryStore();
  const daemon = new StoringDaemon(store, 0);
  daemon.records.update(daemon.createRecord('culprit', 3), 0);
  await waitUntil('it is saved', () => store.crashRecords.revision > 0, SAVED_MILLISECONDS);
  const { loaded, clocks } = await load(store);
  assert.deepEqual(
    loaded.map(({ fingerprint, evidence }) => `${fingerprint} ${evidence.length}`),
    ['culprit 3'],
  );
  const age = clocks.steady() - (loaded[0]?.evidence[0]?.at ?? 0);
  assert.ok(age >= 0 && age < SAVED_MILLISECONDS, `${age} ms`);
});

test('a request that lacks more than one crash for a refusal is not saved', async () => {
  const store = new MemoryStore();
  const daemon = new StoringDaemon(store, 0);
  daemon.records.update(daemon.createRecord('innocent', 1), 0);
  await delay(100);
  assert.equal(daemon.source.calls, 0);
  daemon.records.update(daemon.createRecord('suspect', 2), 0);
  await waitUntil('it is saved', () => store.crashRecords.revision > 0, SAVED_MILLISECONDS);
});

test('daemons that save different requests at the same moment lose none', async () => {
  const store = new MemoryStore();
  const daemons = Array.from({ length: 8 }, (_, index) => new StoringDaemon(store, index));
  for (const [index, daemon] of daemons.entries()) {
    daemon.records.update(daemon.createRecord(`culprit-${index}`, 3), 0);
  }
  await waitUntil(
    'all are saved',
    () => store.crashRecords.records.length === daemons.length,
    SAVED_MILLISECONDS,
  );
});

test('the daemons that collect the same evidence write it once', async () => {
  const store = new MemoryStore();
  const daemons = Array.from({ length: 4 }, (_, index) => new StoringDaemon(store, index));
  for (const [position, daemon] of daemons.entries()) {
    daemon.records.update(daemon.createRecord('culprit', 3), position);
  }
  await delay(ALL_SAVED_MILLISECONDS);
  assert.equal(
    daemons.reduce((sum, { source }) => sum + source.calls, 0),
    5,
    '4 reads, 1 write',
  );
});

test('a record is saved once the store is available again', async () => {
  const store = new MemoryStore();
  const daemon = new StoringDaemon(store, 0);
  daemon.source.unavailable = true;
  daemon.records.update(daemon.createRecord('culprit', 3), 0);
  await delay(300);
  daemon.source.unavailable = false;
  await waitUntil('it is saved', () => store.crashRecords.revision > 0, SAVED_MILLISECONDS);
});

// Guards against requests that are refused after a restart although an endpoint has processed them.
test('a success of the request removes its record', async () => {
  const store = new MemoryStore();
  const daemon = new StoringDaemon(store, 0);
  daemon.records.update(daemon.createRecord('culprit', 3), 0);
  await waitUntil('it is saved', () => store.crashRecords.revision > 0, SAVED_MILLISECONDS);
  const now = daemon.clocks.steady();
  const cleared = { fingerprint: 'culprit', evidence: [], clearedAt: now, lastAt: now };
  daemon.records.update(cleared, 0);
  await waitUntil(
    'it is removed',
    () => store.crashRecords.records.length === 0,
    SAVED_MILLISECONDS,
  );
});

test('old records are not loaded, and the store keeps a limited number', async () => {
  const store = new MemoryStore();
  const daemon = new StoringDaemon(store, 0);
  for (let index = 0; index < 200; index += 1) {
    daemon.records.update(daemon.createRecord(`culprit-${index}`, 3), 0);
  }
  await waitUntil('they are saved', () => store.crashRecords.revision > 0, SAVED_MILLISECONDS);
  await delay(50);
  const { length } = store.crashRecords.records;
  assert.ok(length > 0 && length <= 64, `${length} records`);
  const later = new StoringDaemon(store, 0);
  later.clocks.wallOffset = RETENTION_MILLISECONDS + 1000;
  later.records.load();
  await delay(50);
  assert.deepEqual([later.source.calls, later.loaded.length], [1, 0]);
});

// Guards against a request that crashes endpoints again after a restart of all, since the store has lost its record.
test('records that the store has lost are saved again, and those that were removed are removed again', async () => {
  const store = new MemoryStore();
  const daemon = new StoringDaemon(store, 0);
  const cleared = daemon.createRecord('cleared', 3);
  daemon.records.update(cleared, 0);
  await waitUntil('it is saved', () => store.crashRecords.revision > 0, SAVED_MILLISECONDS);
  const restore = store.copy();
  daemon.records.update({ ...cleared, evidence: [], clearedAt: daemon.clocks.steady() }, 0);
  await waitUntil('it is removed', () => store.crashRecords.records.length === 0, 1000);
  daemon.records.update(daemon.createRecord('culprit', 3), 0);
  await waitUntil('it is saved', () => store.crashRecords.records.length > 0, SAVED_MILLISECONDS);
  restore();
  daemon.records.saveAgain();
  await delay(ALL_SAVED_MILLISECONDS);
  assert.deepEqual(
    store.crashRecords.records.map(({ fingerprint }) => fingerprint),
    ['culprit'],
  );
});
