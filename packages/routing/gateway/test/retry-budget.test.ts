/**
 * Which attempts a gateway takes from the retry budget of its service.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { formatResponse } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

const fail: Script = (socket, request) => socket.write(formatResponse(request, 'bad', 500));
const reset: Script = (socket) => socket.resetAndDestroy();
const shed: Script = (socket, request) =>
  socket.write(formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1'));

// Guards against arrivals that are not counted because an endpoint rejected them.
test('each attempt after one that may have arrived is taken from the budget, also if an endpoint rejected it', async () => {
  for (const script of [fail, reset, shed]) {
    const route = { idempotent: true, maximumAttempts: 3 };
    await withGateway([script, script, script], route, async ({ gateway, endpoints }) => {
      await gateway.send();
      const arrivals = endpoints.reduce((sum, { requests }) => sum + requests.length, 0);
      assert.equal(arrivals, 3);
      assert.equal(gateway.retryBudgets.taken, 2);
      assert.deepEqual(gateway.retryBudgets.counted, ['valuation'], 'one request');
    });
  }
});

test('without a retry left, the response of an endpoint or the reason is sent, and no slot is asked for', async () => {
  const route = { idempotent: true, maximumAttempts: 3 };
  for (const [script, status, result] of [
    [fail, 500, 'answered'],
    [shed, 503, 'BackendShed'],
  ] as const) {
    await withGateway([script, script], route, async ({ gateway, slots, endpoints }) => {
      gateway.retryBudgets.allow(0);
      const response = await gateway.send();
      assert.equal(response?.status, status);
      assert.equal(gateway.decisions[0]?.result, result);
      assert.equal(slots.acquisitions.length, 1);
      assert.equal(endpoints[1]?.requests.length, 0);
    });
  }
});

// Guards against a slot that stays in use, and a retry beyond the budget, when another request takes the last retry.
test('a retry whose budget was used up while it waited for a slot is not sent, and its slot is returned', async () => {
  const route = { idempotent: true, maximumAttempts: 2 };
  await withGateway([fail, respondOk], route, async ({ gateway, slots, endpoints }) => {
    slots.setBeforeDecision(({ repeated }) => {
      gateway.retryBudgets.allow(repeated ? 0 : 1);
    });
    assert.equal((await gateway.send())?.status, 500);
    assert.equal(endpoints[1]?.requests.length, 0);
    assert.deepEqual(
      slots.reports.map(({ outcome }) => outcome),
      ['error', 'unused'],
    );
  });
});

test('a retry that could not connect is returned to the budget', async () => {
  const route = { idempotent: true, maximumAttempts: 2 };
  await withGateway([fail, respondOk], route, async ({ gateway, endpoints }) => {
    endpoints[1]?.close();
    assert.equal((await gateway.send())?.status, 500);
    // The second of three retries finds no listener.
    assert.equal(endpoints[0]?.requests.length, 2);
    assert.equal(gateway.retryBudgets.taken, 1);
  });
});

test('a hedge is taken from the budget, and not sent when none is left', async () => {
  const silent: Script = (socket, request) => {
    setTimeout(() => socket.write(formatResponse(request, 'late')), 150);
  };
  for (const allowed of [0, 1]) {
    const options = { idempotent: true, hedgeAfter: 30 };
    await withGateway([silent, respondOk], options, async ({ gateway, endpoints }) => {
      gateway.retryBudgets.allow(allowed);
      assert.equal((await gateway.send())?.body, allowed === 1 ? 'well' : 'late');
      await delay(20);
      assert.equal(endpoints[1]?.requests.length, allowed);
      assert.equal(gateway.retryBudgets.taken, allowed);
    });
  }
});
