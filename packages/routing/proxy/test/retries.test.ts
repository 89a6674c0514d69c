import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import {
  call,
  createFleet,
  findClosedAddress,
  startBackend,
  startDaemon,
  startRawBackend,
} from './fixture.js';

async function startResetting(
  context: TestContext,
): Promise<{ address: string; count: () => number }> {
  let requests = 0;
  const address = await startRawBackend(context, (socket) => {
    socket.once('data', () => {
      requests += 1;
      socket.resetAndDestroy();
    });
  });
  return { address, count: () => requests };
}

async function fetchKey(port: number): Promise<string> {
  const path = '/.well-known/dogwoodstall/idempotency-keys?service=shop';
  const received = await call(port, { path, method: 'POST' });
  const { keys } = JSON.parse(received.body) as { keys: string[] };
  return keys[0] as string;
}

test('a refused connection is retried at another endpoint, with and without idempotency', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const fleet = createFleet([await findClosedAddress(), backend.address]);
  const daemon = await startDaemon(context, fleet);
  assert.equal((await call(daemon.port)).body, 'ok');
  const headers = { 'idempotency-key': await fetchKey(daemon.port) };
  const received = await call(daemon.port, { path: '/write', method: 'POST', body: 'x', headers });
  assert.equal(received.body, 'ok');
  assert.deepEqual(
    daemon.outcomes.map(({ kind }) => kind),
    ['refused', 'success', 'refused', 'success'],
  );
});

test('a reset is retried only for idempotent requests; others keep the result "not known"', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const resetting = await startResetting(context);
  const daemon = await startDaemon(context, createFleet([resetting.address, backend.address]));
  assert.equal((await call(daemon.port)).body, 'ok');
  const headers = { 'idempotency-key': await fetchKey(daemon.port) };
  const post = { path: '/write', method: 'POST', body: 'x', headers };
  const lost = await call(daemon.port, post);
  assert.equal(lost.headers['dogwoodstall-execution'], 'not-known');
  const again = await call(daemon.port, post);
  assert.equal(again.headers['dogwoodstall-result'], '4006');
  assert.equal(resetting.count(), 2);
  assert.equal(backend.requests.length, 1);
});

test('a shed request is retried, and reported as "not run" without another endpoint', async (context) => {
  const shedding = await startBackend(context, (_request, response) => {
    response.writeHead(503, { 'Request-Not-Run': 'true', 'Backend-Draining': 'true' });
    response.end('busy');
  });
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const fleet = createFleet([shedding.address, backend.address]);
  const daemon = await startDaemon(context, fleet);
  const headers = { 'idempotency-key': await fetchKey(daemon.port) };
  const post = { path: '/write', method: 'POST', body: 'x', headers };
  assert.equal((await call(daemon.port, post)).body, 'ok');
  assert.deepEqual(
    daemon.outcomes.map(({ kind, draining }) => [kind, draining]),
    [
      ['shed', true],
      ['success', false],
    ],
  );
  fleet.backends = [shedding.address];
  const refused = await call(daemon.port);
  assert.equal(refused.headers['dogwoodstall-result'], '5002');
  assert.equal(refused.headers['dogwoodstall-execution'], 'not-run');
});

test('a refused retry after an attempt that may have run is not reported as "not run"', async (context) => {
  const resetting = await startResetting(context);
  const fleet = createFleet([resetting.address, await findClosedAddress()], {
    contract: { maximumAttempts: 2 },
  });
  const daemon = await startDaemon(context, fleet);
  const received = await call(daemon.port);
  assert.equal(received.headers['dogwoodstall-execution'], 'not-known');
  assert.equal(daemon.outcomes.length, 2);
});

test('the retry budget limits retries when all endpoints of a service fail', async (context) => {
  const resetting = await startResetting(context);
  const fleet = createFleet([resetting.address], {
    contract: { retryBudget: 0.1, maximumAttempts: 3 },
  });
  const daemon = await startDaemon(context, fleet);
  const calls = 40;
  for (let index = 0; index < calls; index += 1) {
    await call(daemon.port);
  }
  assert.ok(resetting.count() <= calls + 10 + calls * 0.1, `${resetting.count()} attempts`);
});

test('a streamed body is not sent again once it has been read', async (context) => {
  const resetting = await startResetting(context);
  const backend = await startBackend(context, (request, response) => request.pipe(response));
  const daemon = await startDaemon(context, createFleet([resetting.address, backend.address]));
  const received = await call(daemon.port, { method: 'POST', body: 'x'.repeat(200_000) });
  assert.equal(received.headers['dogwoodstall-execution'], 'not-known');
  assert.equal(backend.requests.length, 0);
});
