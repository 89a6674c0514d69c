import * as assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import * as results from '@dogwoodstall/results';
import { SilentAddress } from '@dogwoodstall/stand-ins';
import * as storeClient from '../src/index.js';
import { FakeStore } from './fake-store.js';

const DEADLINE = { timeout: 20_000 };

async function startStore(
  context: TestContext,
  extraAddresses: readonly string[] = [],
): Promise<{ store: FakeStore; client: storeClient.StoreClient }> {
  const store = await FakeStore.start();
  const addresses = [...extraAddresses, store.address];
  const client = new storeClient.StoreClient({ addresses, callMilliseconds: 1000 });
  context.after(async () => {
    await client.close();
    await store.stop();
  });
  return { store, client };
}

function createKey(key: string, value: string): storeClient.StoreTransaction {
  return {
    compare: [{ target: 'version', key, equals: 0 }],
    success: [{ kind: 'put', key, value }],
    failure: [{ kind: 'range', key }],
  };
}

test(
  'a key is created only once, and the losing transaction reads the existing value',
  DEADLINE,
  async (context) => {
    const { client } = await startStore(context);
    assert.equal((await client.transact(createKey('a/1', 'first é'))).succeeded, true);
    const second = await client.transact(createKey('a/1', 'second'));
    assert.equal(second.succeeded, false);
    assert.equal(second.ranges[0]?.[0]?.value, 'first é');
    await client.transact(createKey('a/2', 'x'));
    await client.transact(createKey('b/1', 'x'));
    const page = await client.range({
      key: 'a/',
      end: storeClient.getPrefixRangeEnd('a/'),
      limit: 1,
    });
    assert.deepEqual([page.entries.length, page.more], [1, true]);
    assert.deepEqual(client.callCounts, { range: 1, transact: 4, lease: 0, watch: 0 });
  },
);

test(
  'a write whose response is lost is not sent to a second address',
  DEADLINE,
  async (context) => {
    const { store, client } = await startStore(context, ['127.0.0.1:1']);
    await client.range({ key: 'a' });
    store.lostTransactionResponses = 1;
    await assert.rejects(client.transact(createKey('a/1', 'x')), (error) =>
      results.isFailure(error, 'StoreTimeout'),
    );
    assert.equal((await client.range({ key: 'a/1' })).entries.length, 1);
    assert.equal(client.callCounts.transact, 1);
  },
);

test(
  'an address that refuses connections is skipped, also for writes',
  DEADLINE,
  async (context) => {
    const { client } = await startStore(context, ['127.0.0.1:1']);
    assert.equal((await client.transact(createKey('a/1', 'x'))).succeeded, true);
  },
);

test(
  'a write is reported as not executed if every address refuses the connection',
  DEADLINE,
  async (context) => {
    const client = new storeClient.StoreClient({ addresses: ['127.0.0.1:1'] });
    context.after(() => client.close());
    await assert.rejects(client.transact(createKey('a/1', 'x')), (error) =>
      results.isFailure(error, 'StoreUnavailable'),
    );
  },
);

test(
  'a watch replays the events since its start revision, and throws when its connection breaks',
  DEADLINE,
  async (context) => {
    const { store, client } = await startStore(context);
    const { storeRevision } = await client.range({ key: 'a/1' });
    await client.transact(createKey('a/1', 'x'));
    const range = { key: 'a/', end: storeClient.getPrefixRangeEnd('a/') };
    const watch = client.watch(range, storeRevision + 1, new AbortController().signal);
    const keys: string[] = [];
    const read = async (): Promise<void> => {
      for await (const batch of watch) {
        keys.push(...batch.events.map((event) => event.kv.key));
        if (keys.length === 1 && batch.events.length > 0) {
          await client.transact(createKey('a/2', 'x'));
        }
        if (keys.length === 2) {
          store.breakWatches();
        }
      }
    };
    await assert.rejects(read(), (error) => results.isFailure(error, 'StoreUnavailable'));
    assert.deepEqual(keys, ['a/1', 'a/2']);
  },
);

test('leases are granted, renewed and revoked', DEADLINE, async (context) => {
  const { store, client } = await startStore(context);
  const lease = await client.grantLease(10);
  assert.equal(await client.keepLeaseAlive(lease), 10);
  await client.revokeLease(lease);
  assert.equal(store.calls.at(-1), '/v3/lease/revoke');
});

// Guards against calls that wait for connections to a store that is gone, long after their timeout.
test(
  'calls of a store that is gone without a trace end with their timeout, and the number of those that wait is limited',
  DEADLINE,
  async (context) => {
    const silent = await SilentAddress.open();
    const client = new storeClient.StoreClient({
      addresses: [silent.address],
      callMilliseconds: 500,
    });
    context.after(async () => {
      silent.close();
      await client.close();
    });
    for (const count of [1, 20, 300]) {
      const startedAt = performance.now();
      const calls = Array.from({ length: count }, () => client.range({ key: 'a' }));
      const outcomes = await Promise.allSettled(calls);
      const milliseconds = performance.now() - startedAt;
      assert.ok(milliseconds < 800, `${count} calls: ${milliseconds} ms`);
      const reasons = outcomes.map((outcome) => 'reason' in outcome && String(outcome.reason));
      assert.ok(reasons.every((reason) => reason !== false));
      const refused = reasons.filter((reason) => /too many calls wait/.test(String(reason)));
      assert.equal(refused.length > 0, count === 300, `${refused.length} of ${count} were refused`);
    }
  },
);
