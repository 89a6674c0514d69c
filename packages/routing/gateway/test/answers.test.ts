import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { formatAnswer, readId } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { answerWell, withGateway } from './with-gateway.js';

test('an answer that is cut never reaches the caller as whole', async () => {
  const cut: Script = (socket, request) => {
    socket.write(formatAnswer(request, 'whole').replace('whole', 'who'));
    setTimeout(() => socket.destroy(), 20);
  };
  await withGateway([cut], {}, async ({ gateway, slots }) => {
    const answer = await gateway.send({ body: 'x' });
    assert.equal(answer?.status, 502);
    assert.deepEqual(
      slots.ends.map(({ outcome }) => outcome),
      ['reset'],
    );
  });
});

test('an answer without a length that ends by a reset is not taken for whole', async () => {
  const unframed: Script = (socket, request) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\npart`);
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  await withGateway([unframed], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
  });
});

test('an answer without a length is not whole when the reset arrives together with its bytes', async () => {
  const unframed: Script = (socket, request) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\npart`, () => {
      socket.resetAndDestroy();
      // Nothing is read until both have arrived.
      const until = performance.now() + 30;
      while (performance.now() < until);
    });
  };
  await withGateway([unframed], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
  });
});

test('an answer without a length that ends with its connection is passed on', async () => {
  const unframed: Script = (socket, request) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\n\r\nall of it`);
  };
  await withGateway([unframed], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'all of it');
  });
});

test('a chunked answer that ends with its connection before its last chunk is not whole', async () => {
  const head = (request: string): string =>
    `HTTP/1.1 200 OK\r\nRequest-Id: ${readId(request)}\r\nSeal: s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const cut: Script = (socket, request) => socket.end(`${head(request)}4\r\npart\r\n`);
  await withGateway([cut], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
  });
  const whole: Script = (socket, request) => socket.end(`${head(request)}4\r\npart\r\n0\r\n\r\n`);
  await withGateway([whole], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'part');
  });
});

test('a second answer behind the first never answers the next request', async () => {
  const twice: Script = (socket, request) => {
    socket.write(formatAnswer(request, 'first') + formatAnswer(request, 'extra'));
  };
  await withGateway([twice], {}, async ({ gateway, endpoints }) => {
    for (let count = 0; count < 5; count += 1) {
      assert.equal((await gateway.send({ id: `r${count}`, body: 'x' }))?.body, 'first');
    }
    assert.equal(endpoints[0]?.connections, 5);
  });
});

test('a late answer to an earlier request is told by its id', async () => {
  const late: Script = (socket, request, number) => {
    if (number === 1) {
      socket.write(formatAnswer(request, 'one'));
      setTimeout(() => socket.write(formatAnswer(request, 'late')), 150);
    } else {
      setTimeout(() => socket.write(formatAnswer(request, 'own')), 300);
    }
  };
  await withGateway([late], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ id: 'r1', body: 'x' }))?.body, 'one');
    await delay(50);
    const second = await gateway.send({ id: 'r2', body: 'x' });
    assert.notEqual(second?.body, 'late');
  });
});

test('work that must not repeat is not sent again after a reset', async () => {
  const reset: Script = (socket) => socket.resetAndDestroy();
  await withGateway([reset, answerWell], {}, async ({ gateway, slots }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.status, 502);
    assert.equal(slots.asks.length, 1);
  });
});

test('idempotent work goes to a second endpoint after a reset', async () => {
  const reset: Script = (socket) => socket.resetAndDestroy();
  await withGateway([reset, answerWell], { idempotent: true }, async ({ gateway, slots }) => {
    assert.equal((await gateway.send())?.body, 'well');
    assert.deepEqual(
      slots.asks.map(({ repeated }) => repeated),
      [false, true],
    );
  });
});

test('a shed request goes to a second endpoint, whatever it is', async () => {
  const shed: Script = (socket, request) =>
    socket.write(formatAnswer(request, '', 503).replace('Seal: s', 'Not-Run: 1'));
  await withGateway([shed, answerWell], {}, async ({ gateway }) => {
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'well');
  });
});

test('a request that every endpoint shed is refused as not run with a time to come back', async () => {
  const shed: Script = (socket, request) =>
    socket.write(formatAnswer(request, '', 503).replace('Seal: s', 'Not-Run: 1'));
  await withGateway([shed, shed], {}, async ({ gateway }) => {
    const answer = await gateway.send({ body: 'x' });
    assert.equal(answer?.status, 503);
    assert.ok(Number(answer?.headers['retry-after']) > 0);
  });
});

test('a refused connection proves that the request was not run', async () => {
  await withGateway([answerWell, answerWell], {}, async ({ gateway, endpoints, slots }) => {
    endpoints[0]?.close();
    assert.equal((await gateway.send({ body: 'x' }))?.body, 'well');
    assert.deepEqual(
      slots.asks.map(({ repeated }) => repeated),
      [false, false],
    );
  });
});

test('a silent endpoint gets company for idempotent work, and the slower one is abandoned', async () => {
  const silent: Script = () => {};
  const options = { idempotent: true, hedgeAfter: 50 };
  await withGateway([silent, answerWell], options, async ({ gateway, slots, endpoints }) => {
    assert.equal((await gateway.send())?.body, 'well');
    await delay(50);
    assert.deepEqual(
      slots.ends.map(({ outcome }) => outcome),
      ['success', 'abandoned'],
    );
    assert.equal(endpoints[0]?.sockets.size, 0);
  });
});

test('a route of one attempt gets no second endpoint for a silent one', async () => {
  const silent: Script = () => {};
  const options = {
    idempotent: true,
    hedgeAfter: 30,
    maximumAttempts: 1,
    timeoutMilliseconds: 200,
  };
  await withGateway([silent, answerWell], options, async ({ gateway, slots }) => {
    assert.equal((await gateway.send())?.status, 504);
    assert.equal(slots.asks.length, 1);
  });
});

test('the timeout of the route is answered in time although the endpoint is silent', async () => {
  const silent: Script = () => {};
  await withGateway([silent], { timeoutMilliseconds: 150 }, async ({ gateway }) => {
    const begin = performance.now();
    assert.equal((await gateway.send({ body: 'x' }))?.status, 504);
    assert.ok(performance.now() - begin < 500);
  });
});

test('work whose caller left ends at its endpoint', async () => {
  const silent: Script = () => {};
  await withGateway([silent], {}, async ({ gateway, endpoints }) => {
    const leaving = new AbortController();
    const answer = gateway.send({ body: 'x', signal: leaving.signal });
    await delay(50);
    assert.equal(endpoints[0]?.sockets.size, 1);
    leaving.abort();
    await answer;
    await delay(50);
    assert.equal(endpoints[0]?.sockets.size, 0);
  });
});

test('the failure of an endpoint is passed on unchanged', async () => {
  const fail: Script = (socket, request) => socket.write(formatAnswer(request, 'broken', 500));
  await withGateway([fail], {}, async ({ gateway }) => {
    const answer = await gateway.send({ body: 'x' });
    assert.equal(answer?.status, 500);
    assert.equal(answer?.body, 'broken');
    assert.equal(answer?.headers.seal, 's');
  });
});

test('an endpoint that answers before it read the body gets the rest of that body, nothing else', async () => {
  const bodies: string[] = [];
  const early: Script = (socket, request) => {
    bodies.push(request.slice(request.indexOf('\r\n\r\n') + 4));
    socket.write(formatAnswer(request, 'early'));
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
