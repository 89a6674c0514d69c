import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { formatResponse, readId } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

test('a truncated response is never forwarded as complete', async () => {
  const truncated: Script = (socket, request) => {
    socket.write(formatResponse(request, 'whole').replace('whole', 'who'));
    setTimeout(() => socket.destroy(), 20);
  };
  await withGateway([truncated], {}, async ({ gateway, slots }) => {
    const response = await gateway.send({ body: 'x' });
    assert.equal(response?.status, 502);
    assert.deepEqual(
      slots.reports.map(({ outcome }) => outcome),
      ['reset'],
    );
  });
});

test('a response without a length that ends with a reset is not treated as complete', async () => {
  const unframed: Script = (socket, request) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\npart`);
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  await withGateway([unframed], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
  });
});

test('a response without a length is not treated as complete when the reset arrives together with its data', async () => {
  const unframed: Script = (socket, request) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\npart`, () => {
      socket.resetAndDestroy();
      // Blocks the event loop so that the gateway reads nothing until both have arrived.
      const until = performance.now() + 30;
      while (performance.now() < until);
    });
  };
  await withGateway([unframed], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
  });
});

test('a response without a length that ends with a regular close is forwarded', async () => {
  const unframed: Script = (socket, request) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\nall of it`);
  };
  await withGateway([unframed], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'all of it');
  });
});

test('a chunked response whose connection closes before the last chunk is not treated as complete', async () => {
  const head = (request: string): string =>
    `HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const truncated: Script = (socket, request) => socket.end(`${head(request)}4\r\npart\r\n`);
  await withGateway([truncated], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
  });
  const complete: Script = (socket, request) =>
    socket.end(`${head(request)}4\r\npart\r\n0\r\n\r\n`);
  await withGateway([complete], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'part');
  });
});

test('a surplus response on a connection is never returned for the next request', async () => {
  const twice: Script = (socket, request) => {
    socket.write(formatResponse(request, 'first') + formatResponse(request, 'extra'));
  };
  await withGateway([twice], {}, async ({ gateway, endpoints }) => {
    for (let count = 0; count < 5; count += 1) {
      assert.equal((await gateway.send({ id: `r${count}`, body: 'x' }))?.body, 'first');
    }
    assert.equal(endpoints[0]?.connections, 5);
  });
});

test('a late response to an earlier request is recognised by its request id', async () => {
  const late: Script = (socket, request, number) => {
    if (number === 1) {
      socket.write(formatResponse(request, 'one'));
      setTimeout(() => socket.write(formatResponse(request, 'late')), 150);
    } else {
      setTimeout(() => socket.write(formatResponse(request, 'own')), 300);
    }
  };
  await withGateway([late], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ id: 'r1', body: 'x' }))?.body, 'one');
    await delay(50);
    const second = await gateway.send({ id: 'r2', body: 'x' });
    assert.notEqual(second?.body, 'late');
  });
});

test('a refusal that the endpoint writes once more is not taken for the next request, which it runs', async () => {
  let refusal = '';
  const repeating: Script = (socket, request, number) => {
    if (number === 1) {
      refusal = formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1');
      socket.write(refusal);
    } else {
      socket.write(refusal);
      setTimeout(() => socket.write(formatResponse(request, 'ran')), 20);
    }
  };
  await withGateway([repeating], { maximumAttempts: 1 }, async ({ gateway, endpoints }) => {
    assert.equal((await gateway.send({ id: 'r1', body: 'x' }))?.status, 503);
    await delay(20);
    const second = await gateway.send({ id: 'r2', body: 'x' });
    assert.equal(second?.status, 200);
    assert.equal(second.body, 'ran');
    assert.equal(endpoints[0]?.connections, 1, 'the second request used the kept connection');
  });
});

const endings: readonly ((socket: net.Socket, text: string) => void)[] = [
  (socket, text) => socket.end(text),
  (socket, text) => socket.write(text, () => socket.resetAndDestroy()),
];

for (const [index, finish] of endings.entries()) {
  const ending = index === 0 ? 'close' : 'reset';
  test(`a response whose head breaks off with a ${ending} of a kept connection is a failure`, async () => {
    const formatHead = (request: string): string =>
      `HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\nConnection: close\r\nContent-Length: 5\r\n\r\n`;
    const head = { length: 1 };
    const brokenOff: Script = (socket, request, number) => {
      if (number % 2 === 1) {
        socket.write(formatResponse(request, 'well'));
      } else {
        finish(socket, formatHead(request).slice(0, head.length));
      }
    };
    await withGateway([brokenOff], {}, async ({ gateway }) => {
      const whole = formatHead('Request-Id: r000').length;
      for (; head.length <= whole; head.length += 3) {
        assert.equal((await gateway.send({ id: 'r000', body: 'x' }))?.body, 'well');
        const response = await gateway.send({ id: 'r001', body: 'x' });
        assert.equal(response?.status, 502, `${head.length} of ${whole} bytes`);
      }
    });
  });
}

test('a request that is not idempotent is not retried after a reset', async () => {
  const reset: Script = (socket) => socket.resetAndDestroy();
  await withGateway([reset, respondOk], {}, async ({ gateway, slots }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
    assert.equal(slots.acquisitions.length, 1);
  });
});

test('an idempotent request is retried at a second endpoint after a reset', async () => {
  const reset: Script = (socket) => socket.resetAndDestroy();
  await withGateway([reset, respondOk], { idempotent: true }, async ({ gateway, slots }) => {
    assert.equal((await gateway.send())?.body, 'well');
    assert.deepEqual(
      slots.acquisitions.map(({ repeated }) => repeated),
      [false, true],
    );
  });
});

test('a shed request is retried at a second endpoint even if it is not idempotent', async () => {
  const shed: Script = (socket, request) =>
    socket.write(formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1'));
  await withGateway([shed, respondOk], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'well');
  });
});

test('a request that every endpoint shed is rejected as not run with a retry delay', async () => {
  const shed: Script = (socket, request) =>
    socket.write(formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1'));
  await withGateway([shed, shed], {}, async ({ gateway }) => {
    const response = await gateway.send({ body: 'x' });
    assert.equal(response?.status, 503);
    assert.ok(Number(response?.headers['retry-after']) > 0);
  });
});

test('a request is retried as not run when the connection is refused', async () => {
  await withGateway([respondOk, respondOk], {}, async ({ gateway, endpoints, slots }) => {
    endpoints[0]?.close();
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'well');
    assert.deepEqual(
      slots.acquisitions.map(({ repeated }) => repeated),
      [false, false],
    );
    // A request that counted twice would enlarge the retry budget.
    assert.deepEqual(gateway.retryBudgets.counted, ['valuation']);
    assert.equal(gateway.retryBudgets.taken, 0);
  });
});

test('an idempotent request is hedged when its endpoint does not respond, and the slower attempt is aborted', async () => {
  const silent: Script = () => {};
  const options = { idempotent: true, hedgeAfter: 50 };
  await withGateway([silent, respondOk], options, async ({ gateway, slots, endpoints }) => {
    assert.equal((await gateway.send())?.body, 'well');
    await delay(50);
    assert.deepEqual(
      slots.reports.map(({ outcome, superseded }) => [outcome, superseded]),
      [
        ['success', false],
        ['abandoned', true],
      ],
    );
    assert.equal(endpoints[0]?.sockets.size, 0);
  });
});

test('a route with a maximum of one attempt is not hedged', async () => {
  const silent: Script = () => {};
  const options = {
    idempotent: true,
    hedgeAfter: 30,
    maximumAttempts: 1,
    timeoutMilliseconds: 200,
  };
  await withGateway([silent, respondOk], options, async ({ gateway, slots }) => {
    assert.equal((await gateway.send())?.status, 504);
    assert.equal(slots.acquisitions.length, 1);
  });
});

test('the route timeout is enforced when the endpoint does not respond', async () => {
  const silent: Script = () => {};
  await withGateway([silent], { timeoutMilliseconds: 150 }, async ({ gateway }) => {
    const startedAt = performance.now();
    assert.equal((await gateway.send({ body: 'x' }))?.status, 504);
    assert.ok(performance.now() - startedAt < 500);
  });
});

test('a request is cancelled at its endpoint when its caller disconnects', async () => {
  const silent: Script = () => {};
  await withGateway([silent], {}, async ({ gateway, endpoints }) => {
    const disconnect = new AbortController();
    const response = gateway.send({ body: 'x', signal: disconnect.signal });
    await delay(50);
    assert.equal(endpoints[0]?.sockets.size, 1);
    disconnect.abort();
    await response;
    await delay(50);
    assert.equal(endpoints[0]?.sockets.size, 0);
  });
});

test('an error response from an endpoint is forwarded unchanged', async () => {
  const fail: Script = (socket, request) => socket.write(formatResponse(request, 'broken', 500));
  await withGateway([fail], {}, async ({ gateway }) => {
    const response = await gateway.send({ body: 'x' });
    assert.equal(response?.status, 500);
    assert.equal(response?.body, 'broken');
    assert.equal(response?.headers.seal, 's');
  });
});

test('after an early response, the endpoint receives the rest of that body before the next request', async () => {
  const bodies: string[] = [];
  const early: Script = (socket, request) => {
    bodies.push(request.slice(request.indexOf('\r\n\r\n') + 4));
    socket.write(formatResponse(request, 'early'));
  };
  await withGateway([early], {}, async ({ gateway }) => {
    const first = 'a'.repeat(300_000);
    assert.equal((await gateway.send({ id: 'r1', body: first }))?.body, 'early');
    assert.equal((await gateway.send({ id: 'r2', body: 'b' }))?.body, 'early');
    assert.deepEqual(
      bodies.map((body) => body.length),
      [300_000, 1],
    );
  });
});
