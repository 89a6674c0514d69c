/**
 * The choice of daemons that decide alone, and the figures of a demand swing.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as model from '@dogwoodstall/model';
import { AloneChooser, type PolicyName } from '../src/baseline/policy.js';
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

function createChooser(policy: PolicyName): AloneChooser {
  return new AloneChooser({ servers, policy, now: () => 0, random: () => 0 });
}

function outcome(kind: 'success' | 'server-error') {
  return { kind, routeName: 'route', organisation: 'o', milliseconds: 1, draining: false } as const;
}

test('passive ejection of the baseline needs five failures in a row', () => {
  const chooser = createChooser('random');
  const fail = (): void => chooser.acquire(none).release(outcome('server-error'));
  for (let count = 0; count < 4; count += 1) {
    fail();
  }
  chooser.acquire(none).release(outcome('success'));
  fail();
  assert.equal(chooser.describe()[0]?.ejections, 0, 'a success in between starts the count again');
  for (let count = 0; count < 4; count += 1) {
    fail();
  }
  assert.equal(chooser.describe()[0]?.ejected, true);
  assert.equal(chooser.acquire(none).endpoint.name, 'two');
});

test('least outstanding of the baseline avoids the endpoint that is in use', () => {
  const chooser = createChooser('leastOutstanding');
  const first = chooser.acquire(none).endpoint.name;
  assert.notEqual(chooser.acquire(none).endpoint.name, first);
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
