/**
 * Deadlines of requests that wait before they are sent to an endpoint, or whose endpoint is silent.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { respondOk, withGateway } from './with-gateway.js';

const DEADLINE_MILLISECONDS = 1800;
const ROUTES_KNOWN_AFTER_MILLISECONDS = 400;
/** Later answers are charged by the platform. */
const TOLERANCE_MILLISECONDS = 250;

// Guards against a deadline that starts only when the routes are known.
test('a request that waited for the routes is answered at its deadline', async () => {
  const silent = (): void => {};
  await withGateway([silent], { maximumAttempts: 1 }, async ({ gateway }) => {
    gateway.setRoutesKnown(false);
    const startedAt = performance.now();
    const headers = { Deadline: String(DEADLINE_MILLISECONDS) };
    const response = gateway.send({ body: 'x', headers });
    await delay(ROUTES_KNOWN_AFTER_MILLISECONDS);
    gateway.setRoutesKnown(true);
    assert.equal((await response)?.status, 504);
    const elapsed = performance.now() - startedAt;
    const latest = DEADLINE_MILLISECONDS + TOLERANCE_MILLISECONDS;
    assert.ok(elapsed < latest, `answered after ${Math.round(elapsed)} ms`);
  });
});

// Guards against answers to silent endpoints that are still on the way when distant callers give up.
test('an attempt ends early enough for the failure to reach a distant caller', async () => {
  for (const [deadline, margin] of [
    [300, 4],
    [2000, 20],
    [8000, 50],
  ] as const) {
    const route = { timeoutMilliseconds: 10_000 };
    await withGateway([respondOk], route, async ({ gateway, endpoints }) => {
      await gateway.send({ headers: { Deadline: String(deadline) } });
      const sent = Number(/^deadline: (\d+)\r$/im.exec(endpoints[0]?.requests[0] ?? '')?.[1]);
      assert.ok(sent <= deadline - margin, `${sent} of ${deadline} ms`);
    });
  }
});
