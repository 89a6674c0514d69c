import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { Pool } from 'undici';
import { call, createFleet, startBackend, startDaemon, startRawBackend } from './fixture.js';
import type { CallOptions, TestDaemon, TestFleet } from './fixture.js';

async function startEntryAndHome(
  context: TestContext,
  fleet: TestFleet,
): Promise<{ entry: TestDaemon; home: TestDaemon }> {
  const home = await startDaemon(context, fleet, 'daemon-a');
  const entry = await startDaemon(context, fleet, 'daemon-b');
  Object.assign(fleet, {
    locateKeyHome: (daemon: string) =>
      daemon === 'daemon-a' ? { kind: 'local' } : { kind: 'peer', peer: home.peer },
  });
  return { entry, home };
}

async function createKeyedRequest(port: number, body = 'pay 5'): Promise<CallOptions> {
  const refused = await call(port, { path: '/write', method: 'POST' });
  const headers = { 'idempotency-key': refused.headers['idempotency-key'] as string };
  return { path: '/write', method: 'POST', body, headers };
}

test('concurrent resends through two entry daemons run once and get one response', async (context) => {
  let respond = (): void => {};
  const backend = await startBackend(context, (_request, response) => {
    respond = () => response.end('paid');
  });
  const { entry, home } = await startEntryAndHome(context, createFleet([backend.address]));
  const post = await createKeyedRequest(entry.port);
  const calls = [entry, home, entry, home].map(({ port }) => call(port, post));
  await once(backend.server, 'request');
  while (entry.server.inFlight.count < 2 || home.server.inFlight.count < 4) {
    await new Promise(setImmediate);
  }
  respond();
  for (const received of await Promise.all(calls)) {
    assert.equal(received.body, 'paid');
    assert.equal(received.headers['dogwoodstall-execution'], 'ran');
  }
  assert.equal(backend.requests.length, 1);
});

test('a caller that disconnects and resends gets the response of its only execution', async (context) => {
  let respond = (): void => {};
  const backend = await startBackend(context, (_request, response) => {
    respond = () => response.end('paid');
  });
  const { entry, home } = await startEntryAndHome(context, createFleet([backend.address]));
  const post = await createKeyedRequest(entry.port);
  const left = new Promise((resolve) => {
    home.peerServer.once('request', (_request, response: http.ServerResponse) => {
      response.once('close', resolve);
    });
  });
  const request = http.request({
    host: '127.0.0.1',
    port: entry.port,
    path: post.path,
    method: 'POST',
    headers: { host: 'shop.test', ...post.headers },
  });
  request.on('error', () => {});
  request.end(post.body);
  await once(backend.server, 'request');
  request.destroy();
  await left;
  const resent = call(entry.port, post);
  respond();
  assert.equal((await resent).body, 'paid');
  assert.equal(backend.requests.length, 1);
});

test('a response above the size limit is delivered once and reported as not recorded afterwards', async (context) => {
  const large = 'x'.repeat(100_000);
  const backend = await startBackend(context, (_request, response) => response.end(large));
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const post = await createKeyedRequest(daemon.port);
  assert.equal((await call(daemon.port, post)).body.length, large.length);
  const resent = await call(daemon.port, post);
  assert.equal(resent.headers['dogwoodstall-result'], '4008');
  assert.equal(resent.headers['dogwoodstall-execution'], 'ran');
  assert.equal(backend.requests.length, 1);
});

test('a recorded response keeps status, headers and every cookie', async (context) => {
  const backend = await startBackend(context, (_request, response) => {
    response.writeHead(201, { 'Set-Cookie': ['a=1', 'b=2'], 'X-Order': '17' });
    response.end(Buffer.from([0, 255, 1]));
  });
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const post = await createKeyedRequest(daemon.port);
  const [first, second] = [await call(daemon.port, post), await call(daemon.port, post)];
  assert.equal(second.status, 201);
  assert.equal(second.body, first.body);
  assert.deepEqual(second.headers['set-cookie'], ['a=1', 'b=2']);
  assert.equal(second.headers['x-order'], '17');
});

test('a lost key home is reported as not known, an unreachable one as not run', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const fleet = createFleet([backend.address]);
  const daemon = await startDaemon(context, fleet);
  const post = await createKeyedRequest(daemon.port);
  fleet.locateKeyHome = () => ({ kind: 'lost' });
  const lost = await call(daemon.port, post);
  assert.equal(lost.headers['dogwoodstall-result'], '4005');
  assert.equal(lost.headers['dogwoodstall-execution'], 'not-known');
  const server = net.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const baseUrl = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  server.close();
  await once(server, 'close');
  const dispatcher = new Pool(baseUrl);
  context.after(() => dispatcher.destroy());
  fleet.locateKeyHome = () => ({ kind: 'peer', peer: { name: 'gone', dispatcher, baseUrl } });
  const unreachable = await call(daemon.port, post);
  assert.equal(unreachable.headers['dogwoodstall-result'], '4009');
  assert.equal(unreachable.headers['dogwoodstall-execution'], 'not-run');
  assert.equal(backend.requests.length, 0);
});

test('a key home that is lost after the request was sent is reported as not known', async (context) => {
  const address = await startRawBackend(context, (socket) => {
    socket.once('data', () => socket.resetAndDestroy());
  });
  const fleet = createFleet([]);
  const daemon = await startDaemon(context, fleet);
  const post = await createKeyedRequest(daemon.port);
  const dispatcher = new Pool(`http://${address}`);
  context.after(() => dispatcher.destroy());
  const peer = { name: 'gone', dispatcher, baseUrl: `http://${address}` };
  fleet.locateKeyHome = () => ({ kind: 'peer', peer });
  const received = await call(daemon.port, post);
  assert.equal(received.headers['dogwoodstall-result'], '4006');
});

for (const [name, path, expected] of [
  ['lets an idempotent request fail over to the next daemon', '/', 'ok'],
  ['lets no non-idempotent request fail over', '/write', ''],
] as const) {
  test(`a dispatcher that stalls ${name}`, async (context) => {
    let forwardedRequests = 0;
    const stalledPeer = await startRawBackend(context, (socket) => {
      socket.on('data', (data: Buffer) => {
        forwardedRequests += data.toString().includes('forward-kind') ? 1 : 0;
      });
    });
    const backend = await startBackend(context, (_request, response) => response.end('ok'));
    const fleet = createFleet([backend.address]);
    const daemon = await startDaemon(context, fleet);
    const post = await createKeyedRequest(daemon.port);
    const dispatcher = new Pool(`http://${stalledPeer}`, { headersTimeout: 0 });
    context.after(() => dispatcher.destroy());
    const peer = { name: 'silent', dispatcher, baseUrl: `http://${stalledPeer}` };
    fleet.planDispatch = () => [{ kind: 'peer', peer }, { kind: 'local' }];
    const received = await call(daemon.port, { ...post, path });
    assert.equal(forwardedRequests, 1);
    if (expected === 'ok') {
      assert.equal(received.body, 'ok');
    } else {
      assert.equal(received.headers['dogwoodstall-execution'], 'not-known');
      assert.equal(backend.requests.length, 0);
    }
  });
}

test('a request beyond the hop limit or its deadline is rejected by the receiving daemon', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const fleet = createFleet([backend.address]);
  const daemon = await startDaemon(context, fleet);
  const headers = {
    'request-id': 'r',
    'dogwoodstall-forward-kind': 'dispatch',
    'dogwoodstall-forward-hops': '3',
    'dogwoodstall-forward-milliseconds': '1000',
    'dogwoodstall-forward-sent': String(Date.now()),
  };
  const { port } = daemon.peerServer.address() as net.AddressInfo;
  const received = await call(port, { path: '/forward/', headers });
  assert.equal(received.headers['dogwoodstall-result'], '2011');
  const late = { ...headers, 'dogwoodstall-forward-hops': '1', 'dogwoodstall-forward-sent': '1' };
  const expired = await call(port, { path: '/forward/', headers: late });
  assert.equal(expired.headers['dogwoodstall-result'], '3003');
  assert.equal(backend.requests.length, 0);
});
