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

test('requests that reach a home after its hand-over run once at the successor and never fail', async (context) => {
  const backend = await startBackend(context, (request, response) => {
    request.resume().on('end', () => response.end(`paid ${backend.requests.length}`));
  });
  const fleet = createFleet([backend.address]);
  const home = await startDaemon(context, fleet, 'daemon-a');
  const successor = await startDaemon(context, fleet, 'daemon-b');
  const entry = await startDaemon(context, fleet, 'daemon-c');
  Object.assign(fleet, {
    // The entry and the old home have not learned about the new home.
    locateKeyHome: (daemon: string) =>
      daemon === 'daemon-c' ? { kind: 'peer', peer: home.peer } : { kind: 'local' },
    // The dispatcher of the cell is one hop further than the hop limit allows.
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
  const answers = await Promise.all([call(entry.port, fresh), call(home.port, fresh)]);
  assert.deepEqual(
    answers.map(({ body }) => body),
    ['paid 2', 'paid 2'],
  );
  assert.equal((await call(entry.port, fresh)).body, 'paid 2');
  assert.equal((await call(entry.port, ran)).body, 'paid 1');
  assert.equal(backend.requests.length, 2);
});

test('a resend of a request that was not run goes to the successor of a sealed home', async (context) => {
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
