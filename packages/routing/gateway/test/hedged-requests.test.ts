/**
 * Hedged requests on real connections, within limits that the operator sets.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type * as gatewayPackage from '../src/index.js';
import { formatResponse } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

const settings: gatewayPackage.HedgingSettings = {
  share: 1,
  quantile: 0.95,
  maximumLoad: 0.8,
  reserve: 0.5,
};
const options = { idempotent: true, hedgeAfter: 50 };
const silent: Script = () => {};
const respondLate: Script = (socket, request) => {
  setTimeout(() => socket.write(formatResponse(request, 'late')), 200);
};

test('a late request is hedged in a free slot only, the loser is cancelled, and the log names the hedge', async () => {
  await withGateway([silent, respondOk], options, async ({ gateway, slots, endpoints }) => {
    gateway.limitHedging(settings);
    assert.equal((await gateway.send())?.body, 'well');
    await delay(50);
    assert.deepEqual(
      slots.acquisitions.map(({ maximumLoad }) => maximumLoad),
      [undefined, settings.maximumLoad],
    );
    assert.deepEqual(
      slots.reports.map(({ outcome, superseded }) => [outcome, superseded]),
      [
        ['success', false],
        ['abandoned', true],
      ],
    );
    assert.equal(endpoints[0]?.sockets.size, 0);
    assert.deepEqual(gateway.hedgeEvents, ['started', 'won']);
    assert.equal(gateway.retryBudgets.taken, 1);
    assert.equal(gateway.decisions[0]?.attempts[0]?.hedge, true);
  });
});

test('the hedge is cancelled when the earlier attempt is answered first', async () => {
  await withGateway([respondLate, silent], options, async ({ gateway, endpoints }) => {
    gateway.limitHedging(settings);
    assert.equal((await gateway.send())?.body, 'late');
    await delay(50);
    assert.equal(endpoints[1]?.requests.length, 1);
    assert.equal(endpoints[1]?.sockets.size, 0);
    assert.deepEqual(gateway.hedgeEvents, ['started', 'cancelled']);
  });
});

// Guards against an endpoint that works on a hedge for a caller that has left.
test('a caller that leaves cancels its request and the hedge', async () => {
  await withGateway([silent, silent], options, async ({ gateway, slots, endpoints }) => {
    gateway.limitHedging(settings);
    const controller = new AbortController();
    const response = gateway.send({ signal: controller.signal });
    await delay(150);
    assert.deepEqual(
      endpoints.map(({ requests }) => requests.length),
      [1, 1],
    );
    controller.abort();
    await response;
    await delay(150);
    assert.deepEqual(
      endpoints.map(({ sockets }) => sockets.size),
      [0, 0],
    );
    assert.deepEqual(
      slots.reports.map(({ outcome }) => outcome),
      ['abandoned', 'abandoned'],
    );
  });
});

// Guards against a request that hangs until its deadline because no slot was free at the first moment.
test('a hedge that is refused is tried again, and is sent once at most', async () => {
  await withGateway([silent, respondOk], options, async ({ gateway, slots, endpoints }) => {
    gateway.limitHedging(settings);
    gateway.retryBudgets.allow(0);
    const response = gateway.send();
    await delay(130);
    assert.equal(endpoints[1]?.requests.length, 0);
    gateway.retryBudgets.allow(1);
    assert.equal((await response)?.body, 'well');
    assert.equal(slots.acquisitions.length, 2);
    assert.ok(gateway.hedgeEvents.filter((event) => event === 'refused-budget').length >= 1);
    assert.deepEqual(gateway.hedgeEvents.slice(-2), ['started', 'won']);
  });
});

test('a request that must not run twice is not hedged, however late it is', async () => {
  const once = { ...options, idempotent: false, timeoutMilliseconds: 300 };
  await withGateway([silent, respondOk], once, async ({ gateway, slots }) => {
    gateway.limitHedging(settings);
    assert.equal((await gateway.send({ body: 'x' }))?.status, 504);
    assert.equal(slots.acquisitions.length, 1);
    assert.deepEqual(gateway.hedgeEvents, []);
  });
});
