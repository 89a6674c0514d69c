import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnnouncedHolds } from '../src/announced-holds.js';

const leaving = { requestsPerSecond: null, leaving: true, pauseMilliseconds: 0 };
const paused = { requestsPerSecond: null, leaving: false, pauseMilliseconds: 2000 };

test('an endpoint that is about to stop is held for good, a new process at its id is not', () => {
  const holds = new AnnouncedHolds();
  assert.ok(holds.record('one', 7, leaving, 1000));
  assert.ok(!holds.record('one', 7, leaving, 1100), 'is told once');
  assert.equal(holds.check('one', 7, 60_000)?.reason, 'leaving');
  assert.equal(holds.check('one', 0, 60_000)?.reason, 'leaving', 'lifetime not known');
  assert.equal(holds.check('one', 8, 60_000), undefined);
  assert.equal(holds.check('other', 7, 60_000), undefined);
});

test('a pause ends with its time, and a shorter one that is announced later does not shorten it', () => {
  const holds = new AnnouncedHolds();
  holds.record('one', 7, paused, 1000);
  holds.record('one', 7, { ...paused, pauseMilliseconds: 100 }, 1200);
  assert.equal(holds.check('one', 7, 2999)?.announcement.pauseMilliseconds, 1);
  assert.equal(holds.check('one', 7, 3000), undefined);
});

test('a response that announces only a limit holds nothing', () => {
  const holds = new AnnouncedHolds();
  holds.record('one', 7, { ...paused, pauseMilliseconds: 0, requestsPerSecond: 3 }, 1000);
  assert.equal(holds.check('one', 7, 1000), undefined);
});

test('the number of remembered endpoints is bounded', () => {
  const holds = new AnnouncedHolds();
  for (let index = 0; index < 5000; index += 1) {
    holds.record(`e${index}`, 7, leaving, 1000);
  }
  assert.equal(holds.check('e0', 7, 1000), undefined);
  assert.equal(holds.check('e4999', 7, 1000)?.reason, 'leaving');
});
