/**
 * Backend servers that send a refusal once more when the next request of the connection arrives.
 */
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { TestContext } from 'node:test';
import { call, createFleet, startDaemon, startRawBackend } from './fixture.js';

const WORK_MILLISECONDS = 20;
/** Longer than a connection needs to be free again after a response. */
const GRANT_MILLISECONDS = 5;

/** Refuses the first request of all and runs the others; a copy of the refusal precedes the next response. */
async function startRepeating(
  context: TestContext,
  echoesId: boolean,
): Promise<{ address: string; countRuns: () => number }> {
  let requests = 0;
  let runs = 0;
  const serve = (socket: net.Socket): void => {
    let copy = '';
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
      if (!received.endsWith('x')) {
        return;
      }
      const id = /^request-id: (\S+)/im.exec(received)?.[1] ?? '';
      received = '';
      const echo = echoesId ? `Request-Id: ${id}\r\n` : '';
      requests += 1;
      if (requests === 1) {
        copy = `HTTP/1.1 503 Busy\r\n${echo}Request-Not-Run: true\r\nContent-Length: 0\r\n\r\n`;
        socket.write(copy);
        return;
      }
      runs += 1;
      socket.write(copy);
      copy = '';
      setTimeout(
        () => socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Length: 3\r\n\r\nran`),
        WORK_MILLISECONDS,
      );
    });
  };
  return { address: await startRawBackend(context, serve), countRuns: () => runs };
}

async function sendKeyed(port: number): Promise<string> {
  const path = '/.well-known/dogwoodstall/idempotency-keys?service=shop';
  const { keys } = JSON.parse((await call(port, { path, method: 'POST' })).body) as {
    keys: string[];
  };
  const headers = { 'idempotency-key': keys[0] as string };
  const response = await call(port, { path: '/write', method: 'POST', body: 'x', headers });
  return String(response.headers['dogwoodstall-execution']);
}

// Guards against "not run" for a request that runs, where the backend server does not name the request it refuses.
test('a copy of a refusal without an id is not taken for the response of the next request', async (context) => {
  const backend = await startRepeating(context, false);
  const fleet = createFleet([backend.address], { contract: { maximumAttempts: 1 } });
  const daemon = await startDaemon(context, fleet);
  assert.equal(await sendKeyed(daemon.port), 'not-run');
  await delay(20);
  const execution = await sendKeyed(daemon.port);
  await delay(2 * WORK_MILLISECONDS);
  assert.ok(backend.countRuns() === 0 || execution !== 'not-run', execution);
});

// Guards against "not run" for a request that runs at the address where it was refused before.
test('a copy of a refusal with the id of its request is not taken for the response of the next attempt', async (context) => {
  const backend = await startRepeating(context, true);
  const fleet = createFleet([backend.address], { contract: { maximumAttempts: 2 } });
  Object.defineProperty(fleet, 'slotsGranted', { get: () => delay(GRANT_MILLISECONDS) });
  const daemon = await startDaemon(context, fleet);
  const execution = await sendKeyed(daemon.port);
  await delay(2 * WORK_MILLISECONDS);
  assert.ok(backend.countRuns() === 0 || execution !== 'not-run', execution);
});
