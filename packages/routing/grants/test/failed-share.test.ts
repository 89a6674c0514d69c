import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { FailedShare } from '../src/failed-share.js';

test('a request that hangs counts as failed when its response is overdue, once', () => {
  const share = new FailedShare();
  share.start(1, { startedAt: 0, expected: 100 });
  assert.equal(share.at(250), 0);
  const overdue = share.at(300);
  assert.ok(overdue > 0);
  share.finish(1, true);
  assert.equal(share.at(6000), overdue);
});

test('an attempt for which no request was sent does not count', () => {
  const share = new FailedShare();
  share.start(1, { startedAt: 0, expected: 100 });
  share.finish(1, undefined);
  assert.equal(share.at(1000), 0);
});
