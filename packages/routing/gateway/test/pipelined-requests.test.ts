/**
 * Callers that send several requests on one connection without waiting for responses.
 */
import * as assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { type TestGateway, formatResponse, readId } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { withGateway } from './with-gateway.js';

const SETTLE_MILLISECONDS = 200;
const RESPONSE_MILLISECONDS = 500;
/** Of 10,000,000 bytes for all responses. */
const LARGE_RESPONSE_BYTES = 8_000_000;

function formatRequests(count: number): string {
  return Array.from(
    { length: count },
    (_, index) =>
      `GET /offers/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: pipelined-${index}\r\n\r\n`,
  ).join('');
}

/** Sends requests on one connection, and closes it while the first is at its endpoint. */
async function leave(
  gateway: TestGateway,
  count: number,
  close = (socket: Socket): unknown => socket.destroy(),
): Promise<void> {
  const socket = gateway.connect();
  socket.on('error', () => {});
  socket.write(formatRequests(count));
  await delay(SETTLE_MILLISECONDS);
  close(socket);
  await delay(SETTLE_MILLISECONDS);
}

// Guards against work that nobody asks for any more.
test('a caller that leaves cancels all requests of its connection', async () => {
  const silent: Script = () => {};
  const closings: ((socket: Socket) => unknown)[] = [
    (socket) => socket.destroy(),
    (socket) => socket.end(),
    (socket) => socket.resetAndDestroy(),
  ];
  for (const close of closings) {
    await withGateway([silent], {}, async ({ gateway, endpoints }) => {
      await leave(gateway, 3, close);
      assert.equal(endpoints[0]?.requests.length, 3);
      assert.equal(endpoints[0]?.sockets.size, 0, 'no request is left at the endpoint');
    });
  }
});

// Guards against requests that count as in flight until the process ends.
test('no request of a closed connection counts as in flight', async () => {
  const silent: Script = () => {};
  await withGateway([silent], {}, async ({ gateway }) => {
    await leave(gateway, 3);
    assert.equal(gateway.server.inFlight, 0);
    assert.equal(gateway.server.connections, 0);
  });
});

// Guards against memory for responses that is not returned until the process ends.
test('responses that are ready before their turn leave no memory reserved when their caller leaves', async () => {
  const respond: Script = (socket, request) => {
    const isFirst = readId(request) === 'pipelined-0';
    const send = (): boolean =>
      socket.write(formatResponse(request, isFirst ? 'first' : 'x'.repeat(LARGE_RESPONSE_BYTES)));
    setTimeout(send, isFirst ? RESPONSE_MILLISECONDS * 4 : 0);
  };
  await withGateway([respond], {}, async ({ gateway }) => {
    await leave(gateway, 2);
    const response = await gateway.send();
    assert.equal(response?.body.length, LARGE_RESPONSE_BYTES);
  });
});

// Guards against a warning of Node.js, and a listener for each request, on connections that carry many.
test('many requests of one connection are served in order', async (context) => {
  const warnings: Error[] = [];
  const onWarning = (warning: Error): unknown => warnings.push(warning);
  process.on('warning', onWarning);
  context.after(() => process.off('warning', onWarning));
  const respond: Script = (socket, request) =>
    socket.write(formatResponse(request, `<${readId(request)}>`));
  await withGateway([respond], {}, async ({ gateway }) => {
    const socket = gateway.connect();
    let received = '';
    socket.on('data', (chunk) => {
      received += String(chunk);
    });
    socket.write(formatRequests(30));
    await delay(RESPONSE_MILLISECONDS);
    socket.destroy();
    const bodies = [...received.matchAll(/<pipelined-(\d+)>/g)].map(([, index]) => Number(index));
    assert.deepEqual(
      bodies,
      Array.from({ length: 30 }, (_, index) => index),
    );
    assert.deepEqual(warnings, []);
  });
});
