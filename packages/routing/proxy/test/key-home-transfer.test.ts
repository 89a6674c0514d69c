import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { call, createFleet, startBackend, startDaemon } from './fixture.js';
import type { CallOptions, TestDaemon } from './fixture.js';

function transferRecords(home: TestDaemon, successor: TestDaemon): void {
  home.home.seal();
  for (const { origin, epoch, records } of home.home.exportRecords()) {
    successor.home.installRecords({ origin, epoch, records });
    successor.home.activateRecords({ origin, epoch, recordCount: records.length });
  }
}

async function createKeyedRequest(port: number, body: string): Promise<CallOptions> {
  const refused = await call(port, { path: '/write', method: 'POST' });
  const headers = { 'idempotency-key': refused.headers['idempotency-key'] as string };
  return { path: '/write', method: 'POST', body, headers };
}

test('requests that reach a key home after its transfer run once at the successor and never fail', async (context) => {
  const backend = await startBackend(context, (request, response) => {
    request.resume().on('end', () => response.end(`paid ${backend.requests.length}`));
  });
  const fleet = createFleet([backend.address]);
  const home = await startDaemon(context, fleet, 'daemon-a');
  const successor = await startDaemon(context, fleet, 'daemon-b');
  const entry = await startDaemon(context, fleet, 'daemon-c');
  Object.assign(fleet, {
    // The entry and the old key home do not know the new key home yet.
    locateKeyHome: (daemon: string) =>
      daemon === 'daemon-c' ? { kind: 'peer', peer: home.peer } : { kind: 'local' },
    // The dispatcher of the cell is one hop beyond the hop limit.
    planDispatch: (daemon: string) =>
      daemon === 'daemon-b'
        ? [{ kind: 'peer', peer: home.peer }, { kind: 'local' }]
        : [{ kind: 'local' }],
  });
  const [ran, fresh] = [
    await createKeyedRequest(entry.port, 'ran'),
    await createKeyedRequest(entry.port, 'fresh'),
  ];
  assert.equal((await call(entry.port, ran)).body, 'paid 1');
  transferRecords(home, successor);
  assert.equal((await call(entry.port, fresh)).headers['dogwoodstall-result'], '4010');
  assert.equal(backend.requests.length, 1);
  fleet.successor = successor.peer;
  const responses = await Promise.all([call(entry.port, fresh), call(home.port, fresh)]);
  assert.deepEqual(
    responses.map(({ body }) => body),
    ['paid 2', 'paid 2'],
  );
  assert.equal((await call(entry.port, fresh)).body, 'paid 2');
  assert.equal((await call(entry.port, ran)).body, 'paid 1');
  assert.equal(backend.requests.length, 2);
});

test('a resend of a request that was not run goes to the successor of a sealed key home', async (context) => {
  const backend = await startBackend(context, (_request, response) => {
    if (backend.requests.length > 1) {
      response.end('paid');
      return;
    }
    response.writeHead(503, { 'request-not-run': 'true' }).end();
  });
  const fleet = createFleet([backend.address], { contract: { maximumAttempts: 1 } });
  const home = await startDaemon(context, fleet, 'daemon-a');
  const successor = await startDaemon(context, fleet, 'daemon-b');
  Object.assign(fleet, { locateKeyHome: () => ({ kind: 'local' }), successor: successor.peer });
  const post = await createKeyedRequest(home.port, 'shed');
  assert.equal((await call(home.port, post)).headers['dogwoodstall-execution'], 'not-run');
  transferRecords(home, successor);
  assert.equal((await call(home.port, post)).body, 'paid');
  assert.equal(backend.requests.length, 2);
});
