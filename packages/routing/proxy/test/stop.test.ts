import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import * as results from '@dogwoodstall/results';
import { call, callRaw, createFleet, startBackend, startDaemon } from './fixture.js';
import { READY_PATH } from '../src/index.js';

/** Longer than a cancellation takes to reach a backend server, and shorter than the deadline of a request. */
const CANCEL_MILLISECONDS = 300;

async function waitUntilRefused(port: number): Promise<void> {
  for (;;) {
    const socket = net.connect(port, '127.0.0.1');
    const refused = await Promise.race([
      once(socket, 'connect').then(() => false),
      once(socket, 'error').then(() => true),
    ]).catch(() => true);
    socket.destroy();
    if (refused) {
      return;
    }
  }
}

test('graceful shutdown fails readiness at once and lets a running upload finish', async (context) => {
  const backend = await startBackend(context, (request, response) => {
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    request.on('end', () => response.end(String(bytes)));
  });
  const fleet = createFleet([backend.address], {
    contract: { deadlineMilliseconds: 60_000 },
    balancerMilliseconds: 50,
  });
  const daemon = await startDaemon(context, fleet);
  assert.equal((await call(daemon.port, { path: READY_PATH })).status, 200);
  const request = http.request({
    host: '127.0.0.1',
    port: daemon.port,
    method: 'PUT',
    headers: { host: 'shop.test' },
  });
  request.write('x'.repeat(100_000));
  await once(backend.server, 'request');
  daemon.entry.beginStop();
  assert.equal((await call(daemon.port, { path: READY_PATH })).status, 503);
  const accepted = await call(daemon.port, { method: 'POST', body: 'x' });
  assert.equal(accepted.status, 200);
  assert.equal(accepted.headers.connection, 'close');
  let idle = false;
  const stopped = daemon.entry.whenIdle().then(() => {
    idle = true;
  });
  await waitUntilRefused(daemon.port);
  assert.equal(idle, false);
  request.end('x'.repeat(100_000));
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  const [body] = (await once(response, 'data')) as [Buffer];
  assert.equal(body.toString(), '200000');
  await stopped;
  const before = results.getViolationCounts().get('RequestCutByStop') ?? 0;
  daemon.entry.close();
  assert.equal(results.getViolationCounts().get('RequestCutByStop') ?? 0, before);
});

test('graceful shutdown closes an idle keep-alive connection with FIN, not with a reset', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const socket = net.connect(daemon.port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n');
  await once(socket, 'data');
  daemon.entry.beginStop();
  const ended = once(socket, 'end');
  socket.resume();
  await daemon.entry.whenIdle();
  await ended;
  assert.equal(socket.errored, null);
  assert.equal(backend.requests.length, 1);
});

test('a request that arrives slowly on a keep-alive connection during shutdown gets a response', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const idle = net.connect(daemon.port, '127.0.0.1');
  const socket = net.connect(daemon.port, '127.0.0.1');
  let received = '';
  socket.on('data', (data: Buffer) => {
    received += data.toString();
  });
  socket.write('GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n');
  await once(socket, 'data');
  socket.write('GET / HTTP/1.1\r\nHost:');
  daemon.entry.beginStop();
  // The other connection became idle at the same time; its end shows that the timeout has passed.
  await once(idle.resume(), 'end');
  await waitUntilRefused(daemon.port);
  socket.write(' shop.test\r\n\r\n');
  await once(socket, 'close');
  await daemon.entry.whenIdle();
  assert.equal(received.match(/HTTP\/1.1 200/g)?.length, 2);
  assert.match(received, /connection: close\r\n/i);
  assert.equal(backend.requests.length, 2);
});

test('a caller that disconnects with pipelined requests does not delay graceful shutdown', async (context) => {
  const responses: http.ServerResponse[] = [];
  const backend = await startBackend(context, (_request, response) => responses.push(response));
  const fleet = createFleet([backend.address], { contract: { deadlineMilliseconds: 60_000 } });
  const daemon = await startDaemon(context, fleet);
  const socket = net.connect(daemon.port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n'.repeat(3));
  while (backend.requests.length < 3) {
    await new Promise(setImmediate);
  }
  // One response is queued behind the first, and one arrives after the connection has closed.
  responses[1]?.end('ok');
  while (daemon.decisions.length < 1) {
    await new Promise(setImmediate);
  }
  const cancelled = once(responses[0] as http.ServerResponse, 'close');
  socket.destroy();
  await cancelled;
  responses[2]?.end('ok');
  daemon.entry.beginStop();
  await daemon.entry.whenIdle();
  assert.equal(daemon.server.inFlight.count, 0);
});

// Guards against backend servers that work for callers that have left.
test('a caller that disconnects cancels all pipelined requests of its connection', async (context) => {
  const responses: http.ServerResponse[] = [];
  const backend = await startBackend(context, (_request, response) => responses.push(response));
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const socket = net.connect(daemon.port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n'.repeat(3));
  while (backend.requests.length < 3) {
    await new Promise(setImmediate);
  }
  socket.destroy();
  await delay(CANCEL_MILLISECONDS);
  assert.deepEqual(
    responses.map(({ destroyed }) => destroyed),
    [true, true, true],
  );
  assert.equal(daemon.decisions.length, 3);
});

test('closing while a request is in flight is reported as a violation', async (context) => {
  const backend = await startBackend(context, () => {});
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const received = callRaw(daemon.port, 'GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n');
  await once(backend.server, 'request');
  const before = results.getViolationCounts().get('RequestCutByStop') ?? 0;
  daemon.entry.close();
  await received.catch(() => '');
  assert.equal(results.getViolationCounts().get('RequestCutByStop'), before + 1);
});

test('a request within the announced keep-alive timeout gets a response during graceful shutdown', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const fleet = createFleet([backend.address], { keepAliveMilliseconds: 2000 });
  const daemon = await startDaemon(context, fleet);
  const socket = net.connect(daemon.port, '127.0.0.1');
  const request = 'GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n';
  socket.write(request);
  const [first] = (await once(socket, 'data')) as [Buffer];
  assert.match(first.toString(), /keep-alive: timeout=2\r\n/i);
  daemon.entry.beginStop();
  await new Promise((resolve) => {
    setTimeout(resolve, 1000);
  });
  socket.write(request);
  const [second] = (await once(socket, 'data')) as [Buffer];
  assert.match(second.toString(), /^HTTP\/1.1 200/);
  assert.match(second.toString(), /connection: close\r\n/i);
  await daemon.entry.whenIdle();
  assert.equal(backend.requests.length, 2);
});
