import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import { test } from 'node:test';
import * as load from '../src/index.js';

const readClass: load.RequestClass = {
  name: 'read',
  weight: 1,
  method: 'GET',
  path: '/',
  idempotent: true,
  deadlineMilliseconds: 5000,
};

async function runAgainst(
  listener: http.RequestListener,
  overrides: Partial<load.LoadOptions>,
): Promise<load.LoadResult> {
  const server = http.createServer(listener);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  try {
    return await load.runLoad({
      targets: [`127.0.0.1:${(server.address() as net.AddressInfo).port}`],
      classes: [readClass],
      arrivals: 'constant',
      profile: load.createFlatProfile(100),
      durationMilliseconds: 200,
      seed: 1,
      ...overrides,
    });
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

test('the same seed produces the same arrivals, and a step changes their rate', () => {
  const profile = load.createRampProfile({
    requestsPerSecond: 1000,
    factor: 5,
    startMilliseconds: 5000,
    rampMilliseconds: 0,
    holdMilliseconds: 5000,
  });
  const options = { kind: 'poisson', profile, durationMilliseconds: 10_000, seed: 7 } as const;
  const first = [...load.generateArrivals(options)];
  assert.deepEqual(first, [...load.generateArrivals(options)]);
  assert.notDeepEqual(first, [...load.generateArrivals({ ...options, seed: 8 })]);
  const before = first.filter((at) => at < 5000).length;
  assert.ok(Math.abs(before - 5000) < 300, `${before} arrivals before the step`);
  assert.ok(Math.abs(first.length - before - 25_000) < 700, `${first.length - before} after it`);
});

test('constant arrivals are evenly spaced', () => {
  const options = { kind: 'constant', durationMilliseconds: 1000, seed: 1 } as const;
  const profile = load.createFlatProfile(100);
  const arrivals = [...load.generateArrivals({ ...options, profile })];
  assert.ok(Math.abs(arrivals.length - 100) <= 1);
  assert.ok(Math.abs((arrivals[1] ?? 0) - (arrivals[0] ?? 0) - 10) < 0.01);
});

test('a stall counts in the latency of the requests that it delays', async () => {
  const pendingResponses: http.ServerResponse[] = [];
  let released = false;
  const result = await runAgainst(
    (_, response) => {
      if (released) {
        response.end();
        return;
      }
      pendingResponses.push(response);
      if (pendingResponses.length === 1) {
        setTimeout(() => {
          released = true;
          pendingResponses.forEach((pendingResponse) => pendingResponse.end());
        }, 300);
      }
    },
    { connections: 1 },
  );
  // The first of 20 requests at 100/s stalls the only connection for 300 ms. If latency were measured
  // from the actual start of each exchange, all but one request would appear fast.
  assert.equal(result.summary.total.count('ok'), result.summary.total.requests);
  assert.ok(
    result.summary.total.latency.p50 >= 150,
    `p50 is ${result.summary.total.latency.p50} ms`,
  );
});

test('requests of the warm-up are sent but not summarised', async () => {
  let received = 0;
  const result = await runAgainst(
    (_, response) => {
      received += 1;
      response.end();
    },
    { warmUpMilliseconds: 100 },
  );
  assert.ok(result.summary.total.requests > 0);
  assert.ok(received > result.summary.total.requests, `${received} requests were received`);
});

test('cut, foreign, late and failed responses are not counted as ok', async () => {
  const kinds = ['cut', 'foreign', 'late', 'failure', 'ok'] as const;
  const classes = kinds.map((kind) => ({
    ...readClass,
    name: kind,
    path: `/${kind}`,
    deadlineMilliseconds: kind === 'late' ? 1 : 5000,
    giveUpMilliseconds: 5000,
  }));
  const result = await runAgainst(
    (request, response) => {
      if (request.url?.startsWith('/cut') === true) {
        response.writeHead(200, { 'content-length': 10 });
        response.write('five.', () => response.destroy());
      } else if (request.url?.startsWith('/failure') === true) {
        response.writeHead(503, { 'dogwoodstall-result': '3002' }).end();
      } else {
        const own = request.url?.startsWith('/foreign') !== true;
        setTimeout(() => response.end(own ? 'own' : 'else'), 20);
      }
    },
    {
      classes,
      createVerifier: () => {
        let text = '';
        return {
          update: (chunk) => {
            text += Buffer.from(chunk).toString();
          },
          finish: () => (text === 'own' ? 'complete' : 'foreign'),
        };
      },
    },
  );
  for (const [name, summary] of result.summary.classes) {
    assert.equal(summary.count(name as load.OutcomeKind), summary.requests, name);
  }
  assert.equal(result.summary.classes.size, kinds.length);
  assert.equal(
    result.summary.total.failuresByCode.get('3002'),
    result.summary.total.count('failure'),
  );
});

test('a request is resent with the same key after a lost response, and all its outcomes are recorded', async () => {
  const attemptsByKey = new Map<string, number>();
  let issuedKeys = 0;
  const result = await runAgainst(
    (request, response) => {
      const key = request.headers['idempotency-key'] as string | undefined;
      if (key === undefined) {
        issuedKeys += 1;
        response.writeHead(428, { 'idempotency-key': `key-${issuedKeys}` }).end();
        return;
      }
      const attempts = (attemptsByKey.get(key) ?? 0) + 1;
      attemptsByKey.set(key, attempts);
      if (attempts === 1) {
        request.socket.destroy();
      } else {
        response.writeHead(200, { 'dogwoodstall-execution': 'ran' }).end();
      }
    },
    { classes: [{ ...readClass, method: 'POST', bodyBytes: 10, idempotent: false }] },
  );
  assert.equal(result.summary.total.count('ok'), result.summary.total.requests);
  assert.equal(result.keys.length, issuedKeys);
  for (const record of result.keys) {
    assert.deepEqual(
      record.observations.map(({ kind, reportedExecution }) => [kind, reportedExecution]),
      [
        ['no-answer', undefined],
        ['ok', 'ran'],
      ],
    );
  }
});

test('the HTML report has no external resources and shows every class', async () => {
  const result = await runAgainst((_, response) => response.end(), {});
  const page = load.formatHtmlReport('report <1>', result);
  assert.match(page, /report &lt;1&gt;/);
  assert.match(page, /<polyline/);
  assert.match(page, /\nread +\d+/);
  assert.doesNotMatch(page, /(src|href)=/);
});
