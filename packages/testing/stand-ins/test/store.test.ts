import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import { test } from 'node:test';
import * as undici from 'undici';
import * as standIns from '../src/index.js';

type Message = Record<string, unknown>;

const encode = (text: string): string => Buffer.from(text).toString('base64');

async function withStore(run: (store: standIns.StoreStandIn) => Promise<void>): Promise<void> {
  const store = new standIns.StoreStandIn();
  await store.start();
  try {
    await run(store);
  } finally {
    await store.stop();
  }
}

async function call(
  store: standIns.StoreStandIn,
  path: string,
  body: Message,
): Promise<{ status: number; message: Message }> {
  const response = await undici.request(`http://${store.address}/v3/${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  return { status: response.statusCode, message: (await response.body.json()) as Message };
}

const createOnce = (key: string, value: string): Message => ({
  compare: [{ key: encode(key), target: 'VERSION', result: 'EQUAL', version: '0' }],
  success: [{ request_put: { key: encode(key), value: encode(value) } }],
  failure: [{ request_range: { key: encode(key) } }],
});

test('only one of two writers that create the same key succeeds', async () => {
  await withStore(async (store) => {
    const first = await call(store, 'kv/txn', createOnce('a/1', 'one'));
    const second = await call(store, 'kv/txn', createOnce('a/1', 'two'));
    assert.equal(first.message.succeeded, true);
    assert.equal(second.message.succeeded, undefined);
    const range = await call(store, 'kv/range', { key: encode('a/'), range_end: encode('a0') });
    assert.deepEqual(
      (range.message.kvs as Message[]).map((stored) => stored.value),
      [encode('one')],
    );
  });
});

test('a limited range reports that more keys exist', async () => {
  await withStore(async (store) => {
    for (const key of ['a/2', 'a/1', 'b']) {
      await call(store, 'kv/put', { key: encode(key), value: encode('x') });
    }
    const request = { key: encode('a/'), range_end: encode('a0'), limit: '1' };
    const { message } = await call(store, 'kv/range', request);
    assert.equal((message.kvs as Message[])[0]?.key, encode('a/1'));
    assert.equal(message.more, true);
    assert.equal(message.count, '2');
  });
});

test('a write whose response is lost has been applied', async () => {
  await withStore(async (store) => {
    store.setFaults({ lostWriteAnswersNext: 1 });
    await assert.rejects(call(store, 'kv/txn', createOnce('a', 'one')));
    const { message } = await call(store, 'kv/range', { key: encode('a') });
    assert.equal(message.count, '1');
    assert.equal((await call(store, 'kv/txn', createOnce('b', 'two'))).status, 200);
  });
});

test('an oversized value and calls above the rate limit are rejected, and every call is counted', async () => {
  await withStore(async (store) => {
    const large = Buffer.alloc(1_048_577).toString('base64');
    assert.equal((await call(store, 'kv/put', { key: encode('a'), value: large })).status, 400);
    store.setFaults({ readsPerSecond: 0.001 });
    assert.equal((await call(store, 'kv/range', { key: encode('a') })).status, 429);
    assert.deepEqual(store.conditions.getCallCounts(), { put: 1, range: 1, limited: 1 });
  });
});

test('a watch delivers the events since its start revision and then new ones, without gaps', async () => {
  await withStore(async (store) => {
    await call(store, 'kv/put', { key: encode('a/1'), value: encode('x') });
    const request = http.request(`http://${store.address}/v3/watch`, { method: 'POST' });
    // The request body stays open, as with a client that streams its requests.
    request.write(
      JSON.stringify({
        create_request: { key: encode('a/'), range_end: encode('a0'), start_revision: '1' },
      }),
    );
    const [response] = (await once(request, 'response')) as [http.IncomingMessage];
    let text = '';
    response.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    await call(store, 'kv/put', { key: encode('a/2'), value: encode('y') });
    await call(store, 'kv/deleterange', { key: encode('a/1') });
    while (!text.includes('DELETE')) {
      await once(response, 'data');
    }
    const messages = text
      .trim()
      .split('\n')
      .map((line) => JSON.parse(line) as Message);
    const events = messages.flatMap(
      (message) => ((message.result as Message).events ?? []) as Message[],
    );
    const seen = events.map((event) => [event.type, (event.kv as Message).key]);
    assert.deepEqual(seen, [
      [undefined, encode('a/1')],
      [undefined, encode('a/2')],
      ['DELETE', encode('a/1')],
    ]);
    assert.equal(store.conditions.getCallCounts().watch, 1);
    request.destroy();
  });
});

test('a key is deleted when its lease expires', async () => {
  await withStore(async (store) => {
    const { message } = await call(store, 'lease/grant', { TTL: '1' });
    const put = { key: encode('a'), value: encode('x'), lease: message.ID };
    await call(store, 'kv/put', put);
    await new Promise<void>((resolve) => {
      store.engine.keySpace.subscribe((events) => {
        assert.equal(events[0]?.type, 'DELETE');
        resolve();
      });
    });
    assert.equal((await call(store, 'kv/put', put)).status, 400);
  });
});
