import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import * as grants from '../src/index.js';

const share: grants.RetryBudgetShare = { ratio: 0.2, slack: 6, windowMilliseconds: 10_000 };
/** After the first window of a budget that started at 0. */
const START = 20_000;

function takeAll(budget: grants.EntryRetryBudget, now: number): number {
  let taken = 0;
  while (budget.tryTake(now)) {
    taken += 1;
  }
  return taken;
}

function countRequests(budget: grants.EntryRetryBudget, count: number, until: number): void {
  for (let request = 0; request < count; request += 1) {
    budget.countRequest(until - 5000 + (request * 5000) / count);
  }
}

test('the retries of any window stay within the budget of a daemon', () => {
  const step = fc.tuple(fc.integer({ min: 0, max: 300 }), fc.boolean());
  fc.assert(
    fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
      let now = 0;
      const budget = new grants.EntryRetryBudget(() => share, now);
      const requests: number[] = [];
      const retries: number[] = [];
      const countIn = (times: readonly number[], from: number, until: number): number =>
        times.filter((at) => at >= from && at < until).length;
      for (const [pause, retry] of steps) {
        now += pause;
        if (retry && budget.tryTake(now)) {
          retries.push(now);
        } else {
          budget.countRequest(now);
          requests.push(now);
        }
      }
      for (const from of retries) {
        const end = from + share.windowMilliseconds;
        const same = countIn(requests, from, end);
        const before = countIn(requests, from - share.windowMilliseconds, from);
        const allowed = share.ratio * Math.max(same, before) + share.slack;
        assert.ok(countIn(retries, from, end) <= allowed);
      }
    }),
  );
});

test('half of the ratio is for the requests of the window before, which a failure can use at once', () => {
  const budget = new grants.EntryRetryBudget(() => share, 0);
  countRequests(budget, 100, START);
  // Requests at the edges of a window are left out.
  assert.equal(takeAll(budget, START), share.slack + 9);
  countRequests(budget, 100, START + 5000);
  assert.equal(takeAll(budget, START + 5000), 10, 'the other half is for those of the same window');
});

// Guards against a slack that each process of a daemon spends anew.
test('a process that has just started spends no slack, but half of the ratio of its requests', () => {
  const budget = new grants.EntryRetryBudget(() => share, START);
  assert.equal(takeAll(budget, START + 100), 0);
  countRequests(budget, 100, START + 5100);
  assert.ok(budget.hasProbeReserve(START + 5100));
  assert.equal(takeAll(budget, START + 5200), 10);
  assert.equal(budget.readState(START + 5200).isNew, true);
  const idle = new grants.EntryRetryBudget(() => share, START);
  assert.equal(takeAll(idle, START + share.windowMilliseconds + 200), share.slack);
  assert.equal(idle.readState(START + share.windowMilliseconds + 200).isNew, false);
});

test('a retry that was given back can be taken again', () => {
  const budget = new grants.EntryRetryBudget(() => share, 0);
  assert.equal(takeAll(budget, START), share.slack);
  budget.giveBack(START);
  assert.equal(takeAll(budget, START + 300), 1);
  budget.giveBack(START - 50_000);
  assert.equal(takeAll(budget, START + 400), 0, 'one that no window contains any more is ignored');
});

test('requests probe no endpoints once most of the budget is used up', () => {
  const budget = new grants.EntryRetryBudget(() => share, 0);
  assert.ok(budget.hasProbeReserve(START));
  takeAll(budget, START);
  assert.ok(!budget.hasProbeReserve(START));
  assert.ok(budget.hasProbeReserve(START + share.windowMilliseconds));
});

// Guards against parts that are too small for a retry each, or that add up to more than the slack.
test('the parts of the slack are whole numbers that add up to a little less than the slack', () => {
  const fleet = { ratio: 0.2, slack: 58, windowMilliseconds: 10_000 };
  for (const daemons of [1, 2, 5, 36, 87, 293]) {
    const shares = Array.from({ length: daemons }, (_, position) =>
      grants.computeRetryBudgetShare(fleet, position, daemons),
    );
    const sum = shares.reduce((total, { slack }) => total + slack, 0);
    assert.equal(sum, 52, `${daemons} daemons`);
    assert.ok(shares.every(({ slack, ratio }) => Number.isInteger(slack) && ratio <= 0.2));
    const sizes = shares.map(({ slack }) => slack);
    assert.ok(Math.max(...sizes) - Math.min(...sizes) <= 1);
  }
});

// Guards against hedges that leave no retries for requests that fail.
test('attempts that keep a reserve end before the budget does, and retries can still use the rest', () => {
  const budget = new grants.EntryRetryBudget(() => share, 0);
  countRequests(budget, 100, START);
  let taken = 0;
  while (budget.hasReserve(START, 0.5) && budget.tryTake(START)) {
    taken += 1;
  }
  assert.equal(taken, (share.ratio * 100 + share.slack) / 2);
  assert.ok(takeAll(budget, START) > 0);
  assert.equal(budget.hasReserve(START, 0), false, 'not without a retry left');
});
