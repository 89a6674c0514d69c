import * as assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import * as undici from 'undici';
import { activeFaults, backendFaultsSchema } from '../src/backend/faults.js';
import * as standIns from '../src/index.js';

const options = { name: 'server-1', slots: 1, connectionLimit: 50, workMilliseconds: 0 };

interface Context {
  readonly server: standIns.BackendServerStandIn;
  readonly group: standIns.BackendGroup;
  readonly url: string;
}

async function withServer(
  run: (context: Context) => Promise<void>,
  overrides: Partial<standIns.BackendServerOptions> = {},
): Promise<void> {
  const group = new standIns.BackendGroup([{ ...options, ...overrides }]);
  await group.start();
  const server = group.find('server-1');
  try {
    await run({ server, group, url: `http://${server.address}` });
  } finally {
    await group.stop();
  }
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

test('executions are counted per key, so that a second execution is detected', async () => {
  await withServer(async ({ group, url }) => {
    for (const requestId of ['r1', 'r2']) {
      const headers = { 'idempotency-key': 'k', 'request-id': requestId };
      const response = await undici.request(`${url}/`, { method: 'POST', headers });
      await response.body.dump();
    }
    assert.equal(group.log.findKey('k')?.started, 2);
    assert.equal(group.log.countStarts('r1'), 1);
  });
});

test('a queued request is not executed after its deadline or after its caller disconnected', async () => {
  await withServer(async ({ server, group, url }) => {
    server.setFaults({ stalled: true });
    const running = undici.request(`${url}/`);
    await waitFor(() => server.load.inFlight === 1);
    const expired = undici.request(`${url}/`, {
      headers: { 'request-timeout-milliseconds': '0', 'request-id': 'expired' },
    });
    const abort = new AbortController();
    const cancelled = undici.request(`${url}/`, {
      signal: abort.signal,
      headers: { 'request-id': 'cancelled' },
    });
    await waitFor(() => server.load.queued === 2);
    abort.abort();
    await assert.rejects(cancelled);
    await waitFor(() => server.counters.cancelled === 1);
    server.setFaults({ stalled: false });
    await (await running).body.dump();
    const rejection = await expired;
    await rejection.body.dump();
    assert.equal(rejection.headers['request-not-run'], 'true');
    assert.equal(group.log.countStarts('expired') + group.log.countStarts('cancelled'), 0);
  });
});

test('a request to a full queue is shed and reported as not run', async () => {
  await withServer(
    async ({ server, url }) => {
      server.setFaults({ stalled: true });
      const running = undici.request(`${url}/`);
      await waitFor(() => server.load.inFlight === 1);
      const shed = await undici.request(`${url}/`);
      await shed.body.dump();
      assert.equal(shed.statusCode, 503);
      assert.equal(shed.headers['request-not-run'], 'true');
      assert.match(String(shed.headers['endpoint-load-metrics']), /named_metrics.in_flight=1,/);
      server.clearFaults();
      await (await running).body.dump();
    },
    { queueLimit: 0 },
  );
});

test('a truncated response and a response to another request are detected', async () => {
  await withServer(async ({ server, url }) => {
    const response = await undici.request(`${url}/?answer=200000&token=mine`);
    const body = new Uint8Array(await response.body.arrayBuffer());
    const verifyContent = (token: string, bytes: Uint8Array): standIns.ContentStatus => {
      const verifier = standIns.createVerifier(token, 200_000);
      verifier.update(bytes);
      return verifier.finish();
    };
    assert.equal(verifyContent('mine', body), 'complete');
    assert.equal(verifyContent('mine', body.subarray(0, 199_999)), 'cut');
    assert.equal(verifyContent('other', body), 'foreign');
    server.setFaults({ cutShare: 1 });
    const cut = await undici.request(`${url}/?answer=200000&token=mine`);
    await assert.rejects(cut.body.arrayBuffer());
  });
});

test('the response to an upload contains the digest of all received bytes', async () => {
  await withServer(async ({ url }) => {
    const upload = Buffer.alloc(300_000, 'upload');
    const response = await undici.request(`${url}/`, { method: 'PUT', body: upload });
    await response.body.dump();
    const digest = createHash('sha256').update(upload).digest('hex');
    assert.equal(response.headers['upload-digest'], digest);
  });
});

test('requests fail while the health check passes', async () => {
  await withServer(async ({ server, url }) => {
    server.setFaults({ failPathPrefix: '/broken' });
    const statuses: number[] = [];
    for (const path of ['/broken/x', '/fine', '/health']) {
      const response = await undici.request(`${url}${path}`);
      await response.body.dump();
      statuses.push(response.statusCode);
    }
    assert.deepEqual(statuses, [500, 200, 200]);
  });
});

test('a marked request crashes the server, which refuses connections and then restarts', async () => {
  await withServer(async ({ server, url }) => {
    server.setFaults({ crashRefusalMilliseconds: 100 });
    await assert.rejects(undici.request(`${url}/`, { headers: { 'crash-marker': 'crash' } }));
    await assert.rejects(undici.request(`${url}/`), { code: 'ECONNREFUSED' });
    let status = 0;
    while (status !== 200) {
      const attempt = undici.request(`${url}/`);
      status = await attempt.then(
        async (response) => {
          await response.body.dump();
          return response.statusCode;
        },
        () => 0,
      );
    }
    assert.equal(server.counters.crashes, 1);
  });
});

test('executions that start on a draining server are counted', async () => {
  await withServer(async ({ server, url }) => {
    server.setDraining(true);
    const response = await undici.request(`${url}/`);
    await response.body.dump();
    assert.equal(response.headers['backend-draining'], 'true');
    assert.equal(server.counters.startedWhileDraining, 1);
  });
});

test('a false load report replaces the actual load until the fault is removed', async () => {
  await withServer(async ({ server, url }) => {
    const readReport = async (): Promise<unknown> => {
      const response = await undici.request(`${url}/load`);
      return response.body.json();
    };
    server.setFaults({ stalled: true, falseReport: { inFlight: 7, queued: 9 } });
    const running = undici.request(`${url}/`);
    await waitFor(() => server.load.inFlight === 1);
    assert.deepEqual(await readReport(), { inFlight: 7, queued: 9 });
    server.setFaults({ falseReport: undefined });
    assert.deepEqual(await readReport(), { inFlight: 1, queued: 0 });
    server.setFaults({ reportLagMilliseconds: 60_000 });
    assert.deepEqual(await readReport(), { inFlight: 0, queued: 0 });
    server.clearFaults();
    await (await running).body.dump();
  });
});

test('connections above the connection limit are not served', async () => {
  await withServer(
    async ({ server, url }) => {
      const first = new undici.Client(url);
      const second = new undici.Client(url);
      try {
        await (await first.request({ method: 'GET', path: '/' })).body.dump();
        await assert.rejects(second.request({ method: 'GET', path: '/' }));
        assert.equal(server.counters.requests, 1);
      } finally {
        await Promise.all([first.destroy(), second.destroy()]);
      }
    },
    { connectionLimit: 1 },
  );
});

test('a flapping fault is active only in the first half of each period', () => {
  const faults = backendFaultsSchema.parse({ failShare: 1, flapPeriodMilliseconds: 100 });
  const shares = [0, 49, 50, 99, 100].map((elapsed) => activeFaults(faults, elapsed).failShare);
  assert.deepEqual(shares, [1, 1, 0, 0, 1]);
});
