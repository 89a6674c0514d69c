/**
 * Endpoint selection of the baseline daemon, and the figures of a demand swing.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as model from '@dogwoodstall/model';
import {
  BaselineEndpointSelector,
  type SelectionPolicy,
} from '../src/baseline/endpoint-selector.js';
import { type CrestOutcome, describeCrest } from '../src/routing/crest-figures.js';

const servers: model.BackendServer[] = ['one', 'two'].map((name) => ({
  name,
  service: 'service',
  address: '127.0.0.1:9000',
  zone: 'zone-a',
  slots: 2,
  connectionLimit: 10,
  draining: false,
}));

const none: ReadonlySet<string> = new Set();

function createSelector(policy: SelectionPolicy): BaselineEndpointSelector {
  return new BaselineEndpointSelector({ servers, policy, now: () => 0, random: () => 0 });
}

function outcome(kind: 'success' | 'server-error') {
  return { kind, routeName: 'route', organisation: 'o', milliseconds: 1, draining: false } as const;
}

test('the baseline ejects an endpoint only after five consecutive failures', () => {
  const selector = createSelector('random');
  const fail = (): void => selector.acquire(none).release(outcome('server-error'));
  for (let count = 0; count < 4; count += 1) {
    fail();
  }
  selector.acquire(none).release(outcome('success'));
  fail();
  assert.equal(selector.listEjections()[0]?.ejections, 0, 'a success resets the count');
  for (let count = 0; count < 4; count += 1) {
    fail();
  }
  assert.equal(selector.listEjections()[0]?.ejected, true);
  assert.equal(selector.acquire(none).endpoint.name, 'two');
});

test('the policy leastOutstanding of the baseline avoids an endpoint with a request in flight', () => {
  const selector = createSelector('leastOutstanding');
  const first = selector.acquire(none).endpoint.name;
  assert.notEqual(selector.acquire(none).endpoint.name, first);
});

test('goodput at the crest excludes late responses and responses outside the crest', () => {
  const create = (intendedAt: number, kind: 'ok' | 'late'): CrestOutcome => ({
    kind,
    intendedAt,
    latencyMilliseconds: 100,
    sender: 'modest',
    className: 'class',
    attempts: 1,
    status: 200,
    failureCode: undefined,
    reportedExecution: 'ran',
    idempotencyKey: undefined,
    requestId: undefined,
  });
  const outcomes = [
    create(850, 'ok'),
    create(1500, 'ok'),
    create(1500, 'late'),
    create(2500, 'ok'),
  ];
  const times = { steadyFrom: 0, riseAt: 500, peakAt: 1000, endAt: 2000 };
  assert.equal(describeCrest(outcomes, times, 2).CrestGoodputPercent, 50);
});
