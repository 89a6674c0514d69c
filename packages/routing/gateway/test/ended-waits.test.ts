/**
 * Requests that end while they wait, before their first attempt: their callers leave, their deadlines pass, or the daemon
 * stops.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { digestToken } from '@dogwoodstall/traffic';
import { type TestGateway, formatResponse } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

const TOKEN = 'token-of-acme';
const headers = { token: TOKEN };
const acme = {
  name: 'acme',
  tokenDigests: [digestToken(TOKEN)],
  requestsPerSecond: 10,
  burst: 10,
};
/** Longer than a request takes to reach an endpoint. */
const SETTLE_MILLISECONDS = 150;
/** More than is read of a body while nothing asks for it. */
const LARGE_BODY_BYTES = 400_000;
/** Of 10,000,000 bytes for all responses. */
const LARGE_RESPONSE_BYTES = 8_000_000;
/** Later answers are charged by the platform. */
const TOLERANCE_MILLISECONDS = 250;

/** Ends a test whose request is never answered. */
const limit = { timeout: 5000 };

const respondLarge: Script = (socket, request) =>
  socket.write(formatResponse(request, 'x'.repeat(LARGE_RESPONSE_BYTES)));

/** Sends a request that waits for its usage limit, and leaves. */
async function leaveWhileWaiting(gateway: TestGateway, body?: string): Promise<void> {
  const controller = new AbortController();
  const response = gateway.send({
    headers,
    signal: controller.signal,
    ...(body !== undefined && { body }),
  });
  await delay(SETTLE_MILLISECONDS);
  controller.abort();
  assert.equal(await response, undefined);
  await delay(SETTLE_MILLISECONDS);
}

// Guards against work that nobody asks for any more.
test('a request whose caller leaves while it waits for its usage limit reaches no endpoint', async () => {
  for (const body of [undefined, 'x', 'x'.repeat(LARGE_BODY_BYTES)]) {
    await withGateway([respondOk], {}, async ({ gateway, slots, endpoints }) => {
      gateway.setOrganisations(2, [acme]);
      gateway.holdUsage();
      await leaveWhileWaiting(gateway, body);
      gateway.admitWaiting();
      await delay(SETTLE_MILLISECONDS);
      assert.deepEqual(endpoints[0]?.requests, []);
      assert.deepEqual(slots.acquisitions, []);
    });
  }
});

// Guards against such requests that can't be told from others by the log.
test('a request whose caller leaves while it waits for its usage limit has a line with its wait', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    gateway.setOrganisations(2, [acme]);
    gateway.holdUsage();
    await leaveWhileWaiting(gateway);
    const [decision] = gateway.decisions;
    assert.equal(decision?.result, 'CancelledInQueue');
    assert.equal(decision?.organisation, 'acme');
    assert.equal(decision?.route, 'offers');
    assert.deepEqual(decision?.attempts, []);
    assert.ok((decision?.usageWaitMilliseconds ?? 0) >= SETTLE_MILLISECONDS - 20);
  });
});

// Guards against memory for responses that is not returned until the process ends.
test('callers that leave while they wait for their usage limit leave no memory reserved', async () => {
  await withGateway([respondLarge], {}, async ({ gateway }) => {
    gateway.setOrganisations(2, [acme]);
    for (let count = 0; count < 3; count += 1) {
      gateway.holdUsage();
      await leaveWhileWaiting(gateway);
      gateway.admitWaiting();
    }
    await delay(SETTLE_MILLISECONDS);
    gateway.passUsage();
    const response = await gateway.send({ headers });
    assert.equal(response?.body.length, LARGE_RESPONSE_BYTES);
  });
});

// Guards against answers after the deadline, which starts when the request arrives.
test(
  'a request that waits for its usage limit is refused at its deadline as not run',
  limit,
  async () => {
    await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
      gateway.setOrganisations(2, [acme]);
      gateway.holdUsage();
      const startedAt = performance.now();
      const response = await gateway.send({ headers: { ...headers, Deadline: '300' }, body: 'x' });
      const elapsed = performance.now() - startedAt;
      assert.equal(response?.status, 503);
      assert.equal(response?.headers['dogwoodstall-result'], '3001');
      assert.ok(Number(response?.headers['retry-after']) > 0);
      assert.ok(elapsed < 300 + TOLERANCE_MILLISECONDS, `answered after ${Math.round(elapsed)} ms`);
      gateway.admitWaiting();
      await delay(SETTLE_MILLISECONDS);
      assert.deepEqual(endpoints[0]?.requests, []);
    });
  },
);

// Guards against a process that is killed while requests wait in it.
test('the end of a graceful shutdown ends the wait for a usage limit', limit, async () => {
  await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
    gateway.setOrganisations(2, [acme]);
    gateway.holdUsage();
    const response = gateway.send({ headers, body: 'x' });
    await delay(SETTLE_MILLISECONDS);
    gateway.server.beginStop(1000);
    gateway.server.abortRequests();
    assert.equal((await response)?.headers['dogwoodstall-result'], '3012');
    gateway.admitWaiting();
    await delay(SETTLE_MILLISECONDS);
    assert.equal(gateway.server.inFlight, 0);
    assert.deepEqual(endpoints[0]?.requests, []);
  });
});

// Guards against work that nobody asks for any more.
test('a request whose caller leaves while it waits for the routes reaches no endpoint', async () => {
  for (const body of [undefined, 'x'.repeat(LARGE_BODY_BYTES)]) {
    await withGateway([respondOk], {}, async ({ gateway, slots }) => {
      gateway.setRoutesKnown(false);
      await leaveWhileWaiting(gateway, body);
      gateway.setRoutesKnown(true);
      await delay(SETTLE_MILLISECONDS);
      assert.deepEqual(slots.acquisitions, []);
      assert.deepEqual(
        gateway.decisions.map(({ result }) => result),
        ['CancelledInQueue'],
      );
    });
  }
});
