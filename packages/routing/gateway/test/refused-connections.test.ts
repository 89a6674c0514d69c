/**
 * Connections whose last response was a refusal, beside those that may carry any request.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { TestGateway, formatResponse } from './fixture.js';
import { RoundRobinSlots } from './round-robin-slots.js';
import { type Script, ScriptedEndpoint } from './scripted-endpoint.js';

const route = { maximumAttempts: 1, idempotent: false };
const REFUSAL_DELAY_MILLISECONDS = 40;

// Guards against a pool that fills up with connections that no request of the service may use.
test('refused connections do not displace one that may carry any request', async () => {
  const script: Script = (socket, request, number) => {
    if (number >= 2 && number <= 5) {
      const refusal = formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1');
      setTimeout(() => socket.write(refusal), REFUSAL_DELAY_MILLISECONDS);
    } else {
      setTimeout(() => socket.write(formatResponse(request, 'ran')), 10);
    }
  };
  const endpoint = await new ScriptedEndpoint(script).listen();
  const gateway = await new TestGateway(new RoundRobinSlots([endpoint.address]), route).listen();
  try {
    const responses = await Promise.all(
      Array.from({ length: 5 }, () => gateway.send({ body: 'x' })),
    );
    assert.deepEqual(
      responses.map((response) => response?.status).sort(),
      [200, 503, 503, 503, 503],
    );
    await delay(20);
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    assert.equal(endpoint.connections, 5, 'the connection that carried a response is still there');
  } finally {
    gateway.close();
    endpoint.close();
  }
});

// Guards against connections that an endpoint must keep open although nothing may be sent on them.
test('an endpoint holds no more idle connections than requests run at a time after refusals', async () => {
  const refuse: Script = (socket, request) =>
    socket.write(formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1'));
  const endpoint = await new ScriptedEndpoint(refuse).listen();
  const gateway = await new TestGateway(new RoundRobinSlots([endpoint.address]), route).listen();
  try {
    for (let count = 0; count < 8; count += 1) {
      assert.equal((await gateway.send({ body: 'x' }))?.status, 503);
      await delay(5);
    }
    assert.ok(endpoint.sockets.size <= 1, `${endpoint.sockets.size} open connections`);
  } finally {
    gateway.close();
    endpoint.close();
  }
});
