import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { EndpointState } from '../src/endpoint-state.js';
import { countSlots, estimateWait, computeLoad } from '../src/slot-count.js';
import { createEndpoint } from './fixture.js';

test('slots of draining or unreachable endpoints are not counted', () => {
  const states = ['one', 'leaving', 'unreachable'].map(
    (id) => new EndpointState(createEndpoint(id, { draining: id === 'leaving' }), 0),
  );
  const lost = states[2] as EndpointState;
  lost.startAttempt(1, {
    entry: 'entry-1',
    route: 'offers',
    target: 400,
    idempotent: false,
    startedAt: 0,
    expected: 100,
    expiresAt: 1000,
  });
  lost.finishAttempt(
    1,
    { outcome: 'refused', elapsed: 1, load: -1, silent: true, rested: 0, announcement: null },
    1,
  );
  assert.deepEqual(countSlots(states, 1), { slots: 2, free: 2 });
});

test('a request waits only if no slot is free', () => {
  const count = { slots: 4, free: 2 };
  assert.equal(estimateWait(count, 2, 100), 0);
  assert.equal(estimateWait(count, 6, 100), 100);
});

test('waiting requests raise the load above one, and a cell without slots counts as overloaded', () => {
  assert.equal(computeLoad({ slots: 4, free: 2 }, 0), 0.5);
  assert.ok(computeLoad({ slots: 4, free: 0 }, 2) > 1);
  assert.ok(computeLoad({ slots: 0, free: 0 }, 0) > 1);
});
