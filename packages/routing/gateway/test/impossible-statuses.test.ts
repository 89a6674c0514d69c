/**
 * Endpoints that answer with a status that can't be one. The HTTP client passes some of them on, waits behind others and fails
 * an assertion at the rest. Building the message of that assertion reads the source of the client, which blocks the daemon
 * for seconds when it is bundled.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { formatResponse, readId } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

/** Far less than the time that the route leaves to the endpoint. */
const MAXIMUM_MILLISECONDS = 1000;
const MAXIMUM_BLOCKED_MILLISECONDS = 500;

function formatStatus(request: string, status: string): string {
  return formatResponse(request, 'well').replace('HTTP/1.1 200', `HTTP/1.1 ${status}`);
}

const statuses = ['000', '001', '099', '101', '600', '999', '1000', '2000', '0200'];
const scripts: Record<string, Script> = {};
for (const status of statuses) {
  scripts[status] = (socket, request) => socket.write(formatStatus(request, status));
}
Object.assign(scripts, {
  '000 and a closed connection': (socket, request) => socket.end(formatStatus(request, '000')),
  '000 without a body': (socket, request) =>
    socket.write(`HTTP/1.1 000 Answer\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\n`),
  '101 without a body': (socket) => socket.write('HTTP/1.1 101 Switching Protocols\r\n\r\n'),
  '000 without a reason': (socket) => socket.write('HTTP/1.1 000\r\n\r\n'),
  '000 of an older protocol': (socket) => socket.write('HTTP/1.0 000 Answer\r\n\r\n'),
  '000 of another protocol': (socket) => socket.write('RTSP/1.0 000 Answer\r\n\r\n'),
  '000 behind empty lines': (socket, request) =>
    socket.write(`\r\n\r\n${formatStatus(request, '000')}`),
  '000 behind hints': (socket, request) =>
    socket.write(`HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${formatStatus(request, '000')}`),
  '000 byte by byte': async (socket, request) => {
    socket.setNoDelay();
    for (const byte of formatStatus(request, '000').slice(0, 60)) {
      socket.write(byte);
      await delay(1);
    }
    socket.write(formatStatus(request, '000').slice(60));
  },
} satisfies Record<string, Script>);

/** Measures for how long at most the process ran nothing else. */
function watchEventLoop(): () => number {
  let longest = 0;
  let last = performance.now();
  const timer = setInterval(() => {
    longest = Math.max(longest, performance.now() - last);
    last = performance.now();
  }, 5);
  return () => {
    clearInterval(timer);
    return Math.max(longest, performance.now() - last);
  };
}

for (const [name, script] of Object.entries(scripts)) {
  test(`status ${name} is no answer: 502 at once, and the connection is closed`, async () => {
    await withGateway([script], {}, async ({ gateway, slots, endpoints }) => {
      const stop = watchEventLoop();
      const startedAt = performance.now();
      const response = await gateway.send({ body: 'x' });
      const elapsed = performance.now() - startedAt;
      const blocked = stop();
      assert.equal(response?.status, 502);
      assert.ok(elapsed < MAXIMUM_MILLISECONDS, `${Math.round(elapsed)} ms`);
      assert.ok(blocked < MAXIMUM_BLOCKED_MILLISECONDS, `blocked for ${Math.round(blocked)} ms`);
      assert.deepEqual(
        slots.reports.map(({ outcome }) => outcome),
        ['reset'],
      );
      await delay(50);
      assert.equal(endpoints[0]?.sockets.size, 0, 'the connection to the endpoint is closed');
    });
  });

  test(`a request that may be repeated is sent to another endpoint after status ${name}`, async () => {
    await withGateway([script, respondOk], { idempotent: true }, async ({ gateway, slots }) => {
      const response = await gateway.send({ body: 'x' });
      assert.equal(response?.body, 'well');
      assert.deepEqual(
        slots.reports.map(({ outcome }) => outcome),
        ['reset', 'success'],
      );
    });
  });
}

// Guards against a check of only the first response of a connection.
test('an impossible status is no answer either on a connection that was used before', async () => {
  const script: Script = (socket, request, number) =>
    socket.write(number === 1 ? formatResponse(request, 'well') : formatStatus(request, '000'));
  await withGateway([script], {}, async ({ gateway, endpoints }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
    assert.equal(endpoints[0]?.connections, 1);
  });
});

// Guards against a check that takes the head behind an informational one, or its body, for a status line.
test('possible statuses are passed on, also behind informational responses', async () => {
  const hints = 'HTTP/1.1 103 Early Hints\r\nLink: HTTP/1.1 000\r\n\r\n';
  const script: Script = (socket, request, number) => {
    const status = [200, 299, 404, 503, 599][number - 1] ?? 200;
    socket.write(hints + hints + formatResponse(request, 'HTTP/1.1 000 x\r\n\r\n', status));
  };
  await withGateway([script], {}, async ({ gateway }) => {
    for (const status of [200, 299, 404, 503, 599]) {
      const response = await gateway.send({ body: 'x' });
      assert.equal(response?.status, status);
      assert.equal(response?.body, 'HTTP/1.1 000 x\r\n\r\n');
    }
  });
});
