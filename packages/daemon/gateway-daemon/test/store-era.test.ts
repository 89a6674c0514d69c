/**
 * A store that comes back with a copy some seconds old: its latest changes are lost and their revisions are given out again.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createSilentLog } from '@dogwoodstall/observability';
import type { Endpoint } from '@dogwoodstall/traffic';
import { Directory } from '../src/directory.js';
import { StoreContactTracker } from '../src/store-contact-tracker.js';
import { StoreWatcher } from '../src/store-watcher.js';
import { waitUntil } from './fleet.js';
import { MemorySource } from './memory-source.js';
import { MemoryStore } from './memory-store.js';

/** Within the time limit for a departure. */
const SEEN_MILLISECONDS = 1900;

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

class WatchingDaemon {
  readonly source: MemorySource;

  readonly directory = new Directory({
    onConfiguration: () => {},
    onEndpoints: () => {},
  });

  readonly watcher: StoreWatcher;

  constructor(store: MemoryStore) {
    this.source = new MemorySource(store);
    this.watcher = new StoreWatcher({
      source: this.source,
      directory: this.directory,
      storeContact: new StoreContactTracker(),
      suspension: { check: () => {}, resumedAt: -Infinity },
      isResponsible: () => true,
      isStandby: () => false,
      onCurrent: () => {},
      onLost: () => {},
      logger: createSilentLog().getLogger('store'),
    });
  }

  /** Whether a request may be sent to the endpoint. */
  isUsed(id: string): boolean {
    return this.directory.listAll().some((known) => known.id === id && !known.draining);
  }

  /** Lets the store lose changes, after a moment without responses. */
  async loseChanges(restore: () => void): Promise<void> {
    this.source.unavailable = true;
    await waitUntil('the store is away', () => this.watcher.isLost, 2000);
    restore();
    this.source.unavailable = false;
  }

  close(): void {
    this.watcher.stop();
    this.directory.close();
  }
}

async function withDaemon(
  check: (store: MemoryStore, daemon: WatchingDaemon) => Promise<void>,
): Promise<void> {
  const store = new MemoryStore();
  store.configure(1, 'valuation');
  for (const id of ['one', 'two', 'three']) {
    store.put(createEndpoint(id));
  }
  const daemon = new WatchingDaemon(store);
  daemon.watcher.start();
  try {
    await waitUntil('the endpoints are known', () => daemon.isUsed('three'), 1000);
    await check(store, daemon);
  } finally {
    daemon.close();
  }
}

// Guards against a departure that is not seen, because the store reports it with a lower revision than the known one.
for (const laterWrites of [0, 40]) {
  test(`a departure after lost changes and ${laterWrites} further ones is seen in time`, async () => {
    await withDaemon(async (store, daemon) => {
      const restore = store.copy();
      for (let count = 0; count < 20; count += 1) {
        store.put({ ...createEndpoint('two'), slots: 3 + count });
      }
      await waitUntil('the changes are known', () => daemon.directory.position.revision > 20, 2000);
      await daemon.loseChanges(() => {
        restore();
        for (let count = 0; count < laterWrites; count += 1) {
          store.put({ ...createEndpoint('two'), slots: 3 + count });
        }
      });
      await waitUntil('the era is known', () => daemon.directory.position.era === 1, 2000);
      store.put({ ...createEndpoint('one'), draining: true });
      await waitUntil('the departure is seen', () => !daemon.isUsed('one'), SEEN_MILLISECONDS);
    });
  });
}

// Guards against requests to endpoints whose departure the store lost and has not been told again yet.
test('an endpoint whose departure was lost is not used again until it is written again', async () => {
  await withDaemon(async (store, daemon) => {
    const restore = store.copy();
    store.put({ ...createEndpoint('one'), draining: true });
    store.remove('two');
    await waitUntil('one is leaving', () => !daemon.isUsed('one'), 2000);
    await waitUntil('two has left', () => !daemon.isUsed('two'), 2000);
    await daemon.loseChanges(restore);
    await waitUntil('the era is known', () => daemon.directory.position.era === 1, 2000);
    const until = performance.now() + SEEN_MILLISECONDS;
    while (performance.now() < until) {
      assert.equal(daemon.isUsed('one') || daemon.isUsed('two'), false);
      await delay(10);
    }
    store.put({ ...createEndpoint('one'), draining: true });
    store.remove('two');
    await delay(SEEN_MILLISECONDS);
    assert.equal(daemon.isUsed('one') || daemon.isUsed('two'), false);
    assert.equal(daemon.isUsed('three'), true);
  });
});

// Guards against a time without endpoints while those are running that registered in the lost seconds.
test('an endpoint whose registration was lost is used all the time', async () => {
  await withDaemon(async (store, daemon) => {
    const restore = store.copy();
    store.put(createEndpoint('new'));
    await waitUntil('it is known', () => daemon.isUsed('new'), 2000);
    await daemon.loseChanges(restore);
    await waitUntil('the era is known', () => daemon.directory.position.era === 1, 2000);
    for (let count = 0; count < 150; count += 1) {
      assert.equal(daemon.isUsed('new'), true);
      await delay(10);
    }
    store.put(createEndpoint('new'));
    await delay(SEEN_MILLISECONDS);
    assert.equal(daemon.isUsed('new'), true);
  });
});

// Guards against a configuration of the copy that comes into force, and against a watch that waits for its old revision.
for (const laterWrites of [0, 40]) {
  test(`after lost changes and ${laterWrites} further ones only later configurations come into force`, async () => {
    await withDaemon(async (store, daemon) => {
      const { directory } = daemon;
      const restore = store.copy();
      store.configure(2, 'valuation');
      await waitUntil('version 2 is known', () => directory.configurationVersion === 2, 3000);
      await daemon.loseChanges(restore);
      await waitUntil('the era is known', () => directory.position.era === 1, 2000);
      await delay(300);
      assert.equal(directory.configurationVersion, 2);
      store.configure(2, 'valuation');
      for (let count = 0; count < laterWrites; count += 1) {
        store.put({ ...createEndpoint('two'), slots: 3 + count });
      }
      store.configure(3, 'valuation');
      await waitUntil('version 3 is known', () => directory.configurationVersion === 3, 3000);
    });
  });
}
