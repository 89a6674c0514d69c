import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import { test } from 'node:test';
import { call, createFleet, startBackend, startDaemon, startRawBackend } from './fixture.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

/** Incomplete or invalid responses; the caller must see each as truncated or as a failure. */
const truncatedResponses: readonly [string, (socket: net.Socket) => void][] = [
  ['a length that is not reached', (socket) => socket.end(`${HEAD}Content-Length: 10\r\n\r\nabc`)],
  [
    'a reset in the body',
    (socket) => {
      socket.write(`${HEAD}Content-Length: 10\r\n\r\nabc`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    },
  ],
  [
    'chunks without the last one',
    (socket) => socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`),
  ],
  [
    'a malformed chunk',
    (socket) => socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nZZ\r\n`),
  ],
  ['no length at all', (socket) => socket.end(`${HEAD}Connection: close\r\n\r\nabc`)],
  ['half of the headers', (socket) => socket.end('HTTP/1.1 200 OK\r\nContent-')],
  ['no HTTP', (socket) => socket.end('garbage\r\n\r\n')],
  [
    'the id of another request',
    (socket) => socket.end(`${HEAD}Request-Id: other\r\nContent-Length: 3\r\n\r\nabc`),
  ],
];

for (const [name, serve] of truncatedResponses) {
  for (const hops of [0, 1]) {
    test(`a response with ${name} never looks complete to the caller, ${hops} hops`, async (context) => {
      const address = await startRawBackend(context, (socket) => {
        socket.once('data', () => serve(socket));
      });
      const fleet = createFleet([address], { contract: { maximumAttempts: 1 } });
      const first = await startDaemon(context, fleet, 'daemon-a');
      const second = await startDaemon(context, fleet, 'daemon-b');
      if (hops === 1) {
        fleet.planDispatch = () => [{ kind: 'peer', peer: second.peer }];
      }
      const received = await call(first.port).catch(() => undefined);
      const looksComplete =
        received !== undefined && received.status === 200 && !received.truncated;
      assert.equal(looksComplete, false);
      if (received?.status !== undefined && received.status !== 200) {
        assert.equal(received.headers['dogwoodstall-execution'], 'not-known');
      }
      const { outcomes } = hops === 1 ? second : first;
      assert.ok(['cut-answer', 'reset'].includes(outcomes[0]?.kind ?? ''));
    });
  }
}

test('a connection is not reused after a timeout, so its late response reaches no other caller', async (context) => {
  const used: net.Socket[] = [];
  const address = await startRawBackend(context, (socket) => {
    socket.on('data', (data: Buffer) => {
      used.push(socket);
      if (data.toString().startsWith('GET /next')) {
        used[0]?.write(`${HEAD}Content-Length: 4\r\n\r\nlate`);
        socket.write(`${HEAD}Content-Length: 4\r\n\r\nmine`);
      }
    });
  });
  const fleet = createFleet([address], { contract: { deadlineMilliseconds: 200 } });
  const daemon = await startDaemon(context, fleet);
  const abandoned = await call(daemon.port, { path: '/slow' });
  assert.equal(abandoned.status, 504);
  assert.equal((await call(daemon.port, { path: '/next' })).body, 'mine');
  assert.notEqual(used[0], used[1]);
  assert.deepEqual(
    daemon.outcomes.map(({ kind }) => kind),
    ['timeout', 'success'],
  );
});

test('connections are reused after complete responses', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  let connections = 0;
  backend.server.on('connection', () => {
    connections += 1;
  });
  const daemon = await startDaemon(context, createFleet([backend.address]));
  await call(daemon.port);
  await call(daemon.port);
  assert.equal(connections, 1);
});
