/**
 * Bytes without end, in a head or a body, from an endpoint or a caller. The daemon must close the connection, keep its
 * memory bounded and tell the caller whether the request may have run.
 */
import * as assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { formatResponse, readId } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { withGateway } from './with-gateway.js';

const CHUNK = 'x'.repeat(65_536);
/** Far less than the time that the route leaves to the endpoint. */
const MAXIMUM_MILLISECONDS = 1500;

/** Writes until the reader closes the connection. */
function writeWithoutEnd(socket: Socket, next: () => string): void {
  const write = (): void => {
    while (!socket.destroyed && socket.write(next()));
    if (!socket.destroyed) {
      socket.once('drain', write);
    }
  };
  write();
}

const endlessHead: Script = (socket, request) => {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n`);
  writeWithoutEnd(socket, () => `Extra: ${CHUNK}\r\n`);
};
const endlessHeaderName: Script = (socket) => {
  socket.write('HTTP/1.1 200 OK\r\n');
  writeWithoutEnd(socket, () => CHUNK);
};
const noResponse: Script = (socket) => writeWithoutEnd(socket, () => CHUNK);
const endlessChunks: Script = (socket, request) => {
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  writeWithoutEnd(socket, () => `10000\r\n${CHUNK}\r\n`);
};
const endlessUnframed: Script = (socket, request) => {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\n`);
  writeWithoutEnd(socket, () => CHUNK);
};
const endlessTrailer: Script = (socket, request) => {
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n`,
  );
  writeWithoutEnd(socket, () => `Extra: ${CHUNK}\r\n`);
};

const scripts = {
  endlessHead,
  endlessHeaderName,
  noResponse,
  endlessChunks,
  endlessUnframed,
  endlessTrailer,
};
for (const [name, script] of Object.entries(scripts)) {
  test(`${name}: bytes without end from an endpoint end in a failure that does not claim "not run"`, async () => {
    await withGateway([script], {}, async ({ gateway, slots, endpoints }) => {
      const startedAt = performance.now();
      const response = await gateway.send({ body: 'x' });
      const elapsed = performance.now() - startedAt;
      assert.equal(response?.status, 502);
      assert.ok(elapsed < MAXIMUM_MILLISECONDS, `${Math.round(elapsed)} ms`);
      assert.deepEqual(
        slots.reports.map(({ outcome }) => outcome),
        ['reset'],
      );
      await delay(50);
      assert.equal(endpoints[0]?.sockets.size, 0, 'the connection to the endpoint is closed');
    });
  });
}

test('responses without end share one memory limit, and later requests are served', async () => {
  const script: Script = (socket, request, number) => {
    if (number <= 8) {
      endlessChunks(socket, request, number);
    } else {
      socket.write(formatResponse(request, 'well'));
    }
  };
  await withGateway([script], {}, async ({ gateway }) => {
    const before = process.memoryUsage().arrayBuffers;
    let peak = 0;
    const timer = setInterval(() => {
      peak = Math.max(peak, process.memoryUsage().arrayBuffers - before);
    }, 5);
    const bodies = Array.from({ length: 8 }, () => gateway.send({ body: 'x' }));
    const responses = await Promise.all(bodies);
    clearInterval(timer);
    assert.deepEqual(
      responses.map((response) => response?.status),
      Array.from({ length: 8 }, () => 502),
    );
    // 10 MB are allowed for all; each response alone may reach 32 MB.
    assert.ok(peak < 64_000_000, `${peak} bytes`);
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'well');
  });
});

const callerScripts = [
  {
    name: 'a head',
    status: 431,
    head: 'GET /offers/1 HTTP/1.1\r\nHost: shop.example\r\n',
    next: `Extra: ${CHUNK}\r\n`,
  },
  {
    name: 'a body',
    status: 413,
    head: 'POST /offers/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n',
    next: `10000\r\n${CHUNK}\r\n`,
  },
];
for (const { name, status, head, next } of callerScripts) {
  test(`${name} without end from a caller is answered with ${status} and its connection closed`, async () => {
    await withGateway([noResponse], {}, async ({ gateway, endpoints }) => {
      const socket = gateway.connect();
      let received = '';
      socket.on('error', () => {});
      socket.on('data', (chunk) => {
        received += chunk.toString('latin1');
      });
      const closed = new Promise((resolve) => {
        socket.once('close', resolve);
      });
      socket.write(head);
      writeWithoutEnd(socket, () => next);
      await closed;
      // A reset that follows unread bytes can overtake the answer.
      assert.match(received, new RegExp(`^(HTTP/1\\.1 ${status}|$)`));
      assert.equal(endpoints[0]?.requests.length, 0);
      assert.equal(gateway.decisions[0]?.status, status);
    });
  });
}
