import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { call, createFleet, startBackend, startDaemon } from './fixture.js';

test('a request reaches the backend server with deadline and id, and the caller gets the response', async (context) => {
  const backend = await startBackend(context, (_request, response) => {
    response.setHeader(
      'endpoint-load-metrics',
      'TEXT named_metrics.in_flight=2, named_metrics.queued=1',
    );
    response.end('hello');
  });
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const received = await call(daemon.port, { path: '/offers?x=1' });
  assert.equal(received.status, 200);
  assert.equal(received.body, 'hello');
  assert.equal(received.headers['dogwoodstall-result'], '0');
  assert.equal(received.headers['dogwoodstall-execution'], 'ran');
  const [request] = backend.requests;
  assert.equal(request?.url, '/offers?x=1');
  assert.equal(request?.headers['request-id'], received.headers['request-id']);
  assert.ok(Number(request?.headers['request-timeout-milliseconds']) > 1000);
  assert.deepEqual(daemon.outcomes[0]?.reportedLoad, { inFlight: 2, queued: 1 });
  assert.equal(daemon.decisions[0]?.endpoint, backend.address);
});

test('a request forwarded through a second daemon keeps host, path and body', async (context) => {
  const backend = await startBackend(context, (request, response) => request.pipe(response));
  const fleet = createFleet([backend.address]);
  const first = await startDaemon(context, fleet, 'daemon-a');
  const second = await startDaemon(context, fleet, 'daemon-b');
  fleet.planDispatch = (daemon) =>
    daemon === 'daemon-a' ? [{ kind: 'peer', peer: second.peer }, { kind: 'local' }] : [];
  const body = 'x'.repeat(300_000);
  const received = await call(first.port, { path: '/up?y=2', method: 'POST', body });
  assert.equal(received.body.length, body.length);
  assert.equal(backend.requests[0]?.headers.host, 'shop.test');
  assert.equal(backend.requests[0]?.url, '/up?y=2');
  assert.equal(second.outcomes.length, 1);
  assert.equal(first.outcomes.length, 0);
});

test('a request with an idempotency key runs once and its resend gets the recorded response', async (context) => {
  const backend = await startBackend(context, (_request, response) => {
    response.end(`run ${backend.requests.length}`);
  });
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const post = { path: '/write', method: 'POST', body: 'pay 5' };
  const refused = await call(daemon.port, post);
  assert.equal(refused.status, 428);
  assert.equal(refused.headers['dogwoodstall-execution'], 'not-run');
  const headers = { 'idempotency-key': refused.headers['idempotency-key'] as string };
  assert.equal((await call(daemon.port, { ...post, headers })).body, 'run 1');
  assert.equal((await call(daemon.port, { ...post, headers })).body, 'run 1');
  assert.equal((await call(daemon.port, { ...post, headers, body: 'pay 9' })).status, 422);
  assert.equal(backend.requests.length, 1);
});
