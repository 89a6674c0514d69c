import * as assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import {
  call,
  createFleet,
  findClosedAddress,
  startBackend,
  startDaemon,
  startRawBackend,
  type TestDaemon,
} from './fixture.js';

/** Starts a daemon in a region with the given endpoints, next to a region that works. */
async function startBesideWorkingRegion(
  context: TestContext,
  ownEndpoints: string[],
): Promise<{ own: TestDaemon; executions: () => number }> {
  const backend = await startBackend(context, (_request, response) => response.end('other'));
  const other = await startDaemon(context, createFleet([backend.address]), 'daemon-b');
  const fleet = createFleet(ownEndpoints, {
    planDispatch: () => [
      { kind: 'local', cell: 'shop/own/0' },
      { kind: 'peer', cell: 'shop/other/0', peer: other.peer },
    ],
  });
  const own = await startDaemon(context, fleet);
  return { own, executions: () => backend.requests.length };
}

test('requests fail over to another region when all endpoints refuse connections', async (context) => {
  const { own } = await startBesideWorkingRegion(context, [await findClosedAddress()]);
  const received = await call(own.port);
  assert.equal(received.body, 'other');
  assert.equal(received.headers['dogwoodstall-result'], '0');
});

test('a non-idempotent request that may have run does not fail over to another region', async (context) => {
  const resetting = await startRawBackend(context, (socket) => {
    socket.once('data', () => socket.resetAndDestroy());
  });
  const { own, executions } = await startBesideWorkingRegion(context, [resetting]);
  const post = { path: '/write', method: 'POST', body: 'pay 5' };
  const { headers } = await call(own.port, post);
  const key = { 'idempotency-key': headers['idempotency-key'] as string };
  const received = await call(own.port, { ...post, headers: key });
  assert.equal(received.headers['dogwoodstall-execution'], 'not-known');
  assert.equal(executions(), 0);
});
