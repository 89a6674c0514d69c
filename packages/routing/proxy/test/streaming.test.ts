import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import { test } from 'node:test';
import { call, createFleet, startBackend, startDaemon } from './fixture.js';

const CHUNK = Buffer.alloc(65_536, 120);
const BODY_CHUNKS = 1600;

/** Upper bound for the bytes in socket and stream buffers between a sender and a paused reader. */
const MAXIMUM_BUFFERED_BYTES = 40_000_000;

async function writeUntilBlocked(
  stream: NodeJS.WritableStream,
  quietMilliseconds: number,
): Promise<number> {
  let written = 0;
  for (let index = 0; index < BODY_CHUNKS; index += 1) {
    written += CHUNK.length;
    if (!stream.write(CHUNK)) {
      const signal = AbortSignal.timeout(quietMilliseconds);
      const drained = await once(stream, 'drain', { signal }).then(
        () => true,
        () => false,
      );
      if (!drained) {
        return written;
      }
    }
  }
  return written;
}

for (const hops of [0, 1]) {
  test(`a caller that stops reading pauses the backend server, with bounded memory, ${hops} hops`, async (context) => {
    let blockedAfter: Promise<number> | undefined;
    const backend = await startBackend(context, (_request, response) => {
      response.writeHead(200);
      blockedAfter = writeUntilBlocked(response, 500);
    });
    const fleet = createFleet([backend.address], { contract: { deadlineMilliseconds: 60_000 } });
    const first = await startDaemon(context, fleet, 'daemon-a');
    const second = await startDaemon(context, fleet, 'daemon-b');
    if (hops === 1) {
      fleet.planDispatch = () => [{ kind: 'peer', peer: second.peer }];
    }
    const before = process.memoryUsage().arrayBuffers;
    const socket = net.connect(first.port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n');
    socket.once('data', () => socket.pause());
    while (blockedAfter === undefined) {
      await new Promise(setImmediate);
    }
    const written = await blockedAfter;
    assert.ok(written < BODY_CHUNKS * CHUNK.length, 'the backend server was never paused');
    const grown = process.memoryUsage().arrayBuffers - before;
    assert.ok(grown < MAXIMUM_BUFFERED_BYTES, `${grown} bytes are buffered`);
    socket.destroy();
  });

  test(`a backend server that stops reading pauses the caller's upload, ${hops} hops`, async (context) => {
    const backend = await startBackend(context, (request) => request.pause());
    const fleet = createFleet([backend.address], { contract: { deadlineMilliseconds: 60_000 } });
    const first = await startDaemon(context, fleet, 'daemon-a');
    const second = await startDaemon(context, fleet, 'daemon-b');
    if (hops === 1) {
      fleet.planDispatch = () => [{ kind: 'peer', peer: second.peer }];
    }
    const request = http.request({
      host: '127.0.0.1',
      port: first.port,
      method: 'PUT',
      headers: { host: 'shop.test' },
    });
    request.on('error', () => {});
    const written = await writeUntilBlocked(request, 500);
    assert.ok(written < BODY_CHUNKS * CHUNK.length, 'the caller was never paused');
    request.destroy();
  });

  test(`a caller that disconnects cancels the request at the backend server, ${hops} hops`, async (context) => {
    const backend = await startBackend(context, () => {});
    const fleet = createFleet([backend.address], { contract: { deadlineMilliseconds: 60_000 } });
    const first = await startDaemon(context, fleet, 'daemon-a');
    const second = await startDaemon(context, fleet, 'daemon-b');
    if (hops === 1) {
      fleet.planDispatch = () => [{ kind: 'peer', peer: second.peer }];
    }
    const socket = net.connect(first.port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n');
    const [request] = (await once(backend.server, 'request')) as [http.IncomingMessage];
    socket.destroy();
    await once(request.socket, 'close');
    const { outcomes } = hops === 1 ? second : first;
    while (outcomes.length === 0) {
      await new Promise(setImmediate);
    }
    assert.equal(outcomes[0]?.kind, 'cancelled');
  });
}

test('the deadline ends the request and is forwarded to the second daemon', async (context) => {
  const backend = await startBackend(context, () => {});
  const fleet = createFleet([backend.address], { contract: { deadlineMilliseconds: 300 } });
  const first = await startDaemon(context, fleet, 'daemon-a');
  const second = await startDaemon(context, fleet, 'daemon-b');
  fleet.planDispatch = () => [{ kind: 'peer', peer: second.peer }];
  const received = await call(first.port);
  assert.equal(received.headers['dogwoodstall-result'], '5003');
  const announced = Number(backend.requests[0]?.headers['request-timeout-milliseconds']);
  assert.ok(announced > 0 && announced <= 300, `${announced} ms were announced`);
  assert.equal(second.outcomes[0]?.kind, 'timeout');
});

test('an upload that the caller ends early never looks complete to the backend server', async (context) => {
  const backend = await startBackend(context, (request) => request.resume());
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const socket = net.connect(daemon.port, '127.0.0.1');
  socket.write(
    `PUT / HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`,
  );
  const [request] = (await once(backend.server, 'request')) as [http.IncomingMessage];
  request.on('error', () => {});
  socket.end();
  await new Promise((resolve) => {
    request.once('close', resolve);
  });
  assert.equal(request.complete, false);
});
