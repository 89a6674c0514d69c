import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { TestGateway, formatRequest, formatResponse } from './fixture.js';
import { RoundRobinSlots } from './round-robin-slots.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

test('a connection is reused for the next request', async () => {
  await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
    for (let count = 0; count < 4; count += 1) {
      await gateway.send({ id: `r${count}`, body: 'x' });
      await delay(5);
    }
    assert.equal(endpoints[0]?.connections, 1);
  });
});

// Guards against ids that a connection holds for as long as it lives.
test('a connection is replaced after some hundred requests', async () => {
  await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
    for (let count = 0; count < 300; count += 1) {
      assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
      await delay(1);
    }
    assert.equal(endpoints[0]?.connections, 2);
  });
});

test('a request that matches no route is rejected with 404 and reaches no endpoint', async () => {
  await withGateway([respondOk], {}, async ({ gateway, slots }) => {
    assert.equal((await gateway.send({ path: '/elsewhere/' }))?.status, 404);
    assert.equal(slots.acquisitions.length, 0);
  });
});

test('during a graceful shutdown, responses close their connections', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    await gateway.send({ body: 'x' });
    gateway.server.beginStop(5000);
    const response = await gateway.send({ id: 'r2', body: 'x' });
    assert.equal(response?.headers.connection, 'close');
    assert.equal(response?.body, 'well');
  });
});

test('a graceful shutdown completes requests in flight and accepts no new ones', async () => {
  const slow: Script = (socket, request) =>
    setTimeout(() => socket.write(formatResponse(request, 'slow')), 150);
  await withGateway([slow], {}, async ({ gateway, slots }) => {
    const running = gateway.send({ id: 'r1', body: 'x' });
    const second = gateway.send({ id: 'r2', body: 'x' });
    await delay(50);
    gateway.server.beginStop(5000);
    assert.equal((await second)?.body, 'slow');
    assert.equal((await running)?.body, 'slow');
    gateway.server.closeIdle();
    assert.equal(slots.acquisitions.length, 2);
    assert.equal(await gateway.send({ id: 'r3', body: 'x' }), undefined);
  });
});

const resetSecondRequest: Script = (socket, request, number) => {
  if (number === 1) {
    socket.write(formatResponse(request, 'well'), () => {
      // Resets the connection when the next request arrives on it.
      socket.removeAllListeners('data');
      socket.once('data', () => socket.resetAndDestroy());
    });
    return;
  }
  socket.write(formatResponse(request, 'well'));
};
const IDLE_MILLISECONDS = 60;

test('a reset is reported with the idle time of the connection, so that a dropped connection does not count as a failure', async () => {
  await withGateway([resetSecondRequest], {}, async ({ gateway, slots }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    await delay(IDLE_MILLISECONDS);
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
    const [first, second] = slots.reports;
    assert.equal(first?.idleMilliseconds, 0);
    assert.equal(second?.outcome, 'reset');
    assert.ok((second?.idleMilliseconds ?? 0) >= IDLE_MILLISECONDS * 0.8);
  });
});

test('a request that is not idempotent is not sent on a connection that was idle for too long', async () => {
  const options = { maximumIdle: IDLE_MILLISECONDS / 2 };
  await withGateway([resetSecondRequest], options, async ({ gateway, endpoints }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    await delay(IDLE_MILLISECONDS);
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    assert.equal(endpoints[0]?.connections, 2);
  });
});

test('a request that arrives before the routes are known waits for them', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    gateway.setRoutesKnown(false);
    setTimeout(() => gateway.setRoutesKnown(true), 100);
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
  });
});

test('without routes, a request is rejected as not run with a retry delay and reported for the log', async () => {
  await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
    gateway.setRoutesKnown(false);
    const response = await gateway.send({ body: 'x' });
    assert.equal(response?.status, 503);
    assert.ok(Number(response?.headers['retry-after']) > 0);
    assert.equal(gateway.decisions[0]?.result, 'NotReady');
    assert.equal(endpoints[0]?.requests.length, 0);
  });
});

test('a request in transit while its idle connection is closed reaches no endpoint', async () => {
  await withGateway([respondOk], { idleMilliseconds: 1 }, async ({ gateway, endpoints }) => {
    const socket = gateway.connect();
    const request = formatRequest('POST', 'x');
    try {
      const closed = new Promise<void>((resolve) => {
        socket.once('end', () => {
          socket.write(request);
          resolve();
        });
      });
      socket.on('error', () => {});
      socket.resume();
      socket.write(request);
      await closed;
      await delay(300);
      assert.equal(endpoints[0]?.requests.length, 1);
    } finally {
      socket.destroy();
    }
  });
});

test('a slot that is granted after the deadline, as after a pause of the process, is not used', async () => {
  await withGateway([respondOk], {}, async ({ gateway, slots, endpoints }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    slots.setBeforeDecision(({ deadlineAt }) => {
      // Blocks the event loop beyond the deadline, so that its timer has not run when the grant is used.
      while (performance.now() < deadlineAt + 5);
    });
    assert.equal((await gateway.send({ body: 'x' }))?.status, 503);
    assert.equal(
      endpoints[0]?.requests.length,
      1,
      'the request is not sent on the open connection',
    );
    assert.equal(slots.reports.at(-1)?.outcome, 'unused');
  });
});

test('a connection on which nothing arrives any more is given up at the deadline, long before keep-alive probes', async () => {
  const respondOnce: Script = (socket, request, number) => {
    if (number !== 2) {
      socket.write(formatResponse(request, 'well'));
    }
  };
  await withGateway([respondOnce], {}, async ({ gateway, endpoints }) => {
    const deadline = 300;
    const headers = { Deadline: String(deadline) };
    assert.equal((await gateway.send({ body: 'x', headers }))?.status, 200);
    const startedAt = performance.now();
    assert.equal((await gateway.send({ body: 'x', headers }))?.status, 504);
    const elapsed = performance.now() - startedAt;
    assert.ok(elapsed < deadline + 250, `gave up after ${Math.round(elapsed)} ms`);
    assert.equal((await gateway.send({ body: 'x', headers }))?.status, 200);
    assert.equal(endpoints[0]?.connections, 2, 'the silent connection is not used again');
  });
});

test('requests that fail before their first attempt are reported for the log', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    await gateway.send({ path: '/elsewhere/1', id: 'no-route' });
    await gateway.send({ body: Buffer.alloc(1_000_001), id: 'too-large' });
    const malformed = gateway.connect();
    malformed.on('error', () => {});
    const closed = once(malformed, 'close');
    malformed.resume();
    malformed.end('GET\r\n\r\n');
    await closed;
    assert.deepEqual(
      gateway.decisions.map(({ requestId, result, status }) => [requestId, result, status]),
      [
        ['no-route', 'RouteUnknown', 404],
        ['too-large', 'RequestBodyTooLarge', 413],
        ['', 'RequestMalformed', 400],
      ],
    );
  });
});

test('an endpoint whose address is invalid counts as one that refused the connection', async () => {
  for (const address of ['127.0.0.1:70000', '127.0.0.1:-1', 'no address']) {
    const slots = new RoundRobinSlots([address]);
    const gateway = await new TestGateway(slots).listen();
    try {
      const response = await gateway.send({ body: 'x' });
      assert.equal(response?.status, 503, address);
      assert.equal(slots.reports[0]?.outcome, 'refused', address);
    } finally {
      gateway.close();
    }
  }
});
