import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createSilentLog } from '@dogwoodstall/observability';
import type { Endpoint } from '@dogwoodstall/traffic';
import { Directory } from '../src/directory.js';
import { StoreNews } from '../src/store-news.js';
import { StoreWatcher } from '../src/store-watcher.js';
import { waitUntil } from './fleet.js';
import { MemorySource } from './memory-source.js';
import { MemoryStore } from './memory-store.js';

const AWAY_MILLISECONDS = 2500;
/** Shorter than the time for which lapsed entries are kept. */
const PROMPT_MILLISECONDS = 1500;

const endpoint: Omit<Endpoint, 'id'> = {
  service: 'valuation',
  address: '127.0.0.1:1',
  zone: 'a',
  slots: 2,
  draining: false,
  warmUpMilliseconds: 0,
  lifetime: 1,
};

async function removeAfterAbsence(othersReachStore: boolean): Promise<boolean> {
  const store = new MemoryStore();
  for (const id of ['one', 'two']) {
    store.put({ ...endpoint, id });
  }
  const source = new MemorySource(store);
  const news = new StoreNews();
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const watcher = new StoreWatcher({
    source,
    directory,
    news,
    isResponsible: () => true,
    onLost: () => {},
    logger: createSilentLog().getLogger('store'),
  });
  watcher.start();
  try {
    await waitUntil('both are known', () => directory.listAll().length === 2, 1000);
    source.away = true;
    const until = performance.now() + AWAY_MILLISECONDS;
    while (performance.now() < until) {
      await delay(100);
      if (othersReachStore) {
        news.note(performance.now());
      }
    }
    source.away = false;
    await waitUntil('the store is reached', () => !watcher.isLost, 2000);
    store.remove('one');
    await delay(PROMPT_MILLISECONDS);
    return directory.listAll().length === 1;
  } finally {
    watcher.stop();
  }
}

test('an endpoint that leaves is gone at once when the store had turned only this daemon away', async () => {
  assert.equal(await removeAfterAbsence(true), true);
});

test('an entry that lapses around an outage of the store is kept until its endpoint could write it again', async () => {
  assert.equal(await removeAfterAbsence(false), false);
});
