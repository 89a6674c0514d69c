import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConnectionReuseLimit } from '../src/connection-reuse-limit.js';

const UNLIMITED = new ConnectionReuseLimit().at(0);

test('the idle time is limited once two endpoints, not one, have reset idle connections', () => {
  const limit = new ConnectionReuseLimit();
  assert.equal(limit.recordReset('one', 900, 0), true);
  assert.equal(limit.at(0), UNLIMITED);
  assert.equal(limit.recordReset('two', 800, 100), true);
  assert.ok(limit.at(100) < 400);
});

test('resets after a shorter idle time lower the limit, which expires after the last reset', () => {
  const limit = new ConnectionReuseLimit();
  limit.recordReset('one', 4000, 0);
  limit.recordReset('two', 4000, 0);
  const before = limit.at(0);
  limit.recordReset('three', before / 2, 10);
  assert.ok(limit.at(10) < before);
  assert.equal(limit.at(30_000), UNLIMITED);
});

test('resets of idle connections set no limit if the endpoint also resets busy ones', () => {
  const limit = new ConnectionReuseLimit();
  for (const endpoint of ['one', 'two', 'three']) {
    assert.equal(limit.recordReset(endpoint, 0, 0), false);
    assert.equal(limit.recordReset(endpoint, 900, 100), false);
  }
  assert.equal(limit.at(100), UNLIMITED);
});
