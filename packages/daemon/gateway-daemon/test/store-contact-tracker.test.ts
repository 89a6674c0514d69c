import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreContactTracker } from '../src/store-contact-tracker.js';

test('missing entries are tolerated only after a gap in which no daemon reached the store', () => {
  const tracker = new StoreContactTracker();
  tracker.record(0);
  tracker.recordFailure(1000);
  tracker.record(1500);
  assert.ok(tracker.toleranceEndsAt < 1500);
  tracker.recordFailure(2500);
  tracker.record(9000);
  assert.ok(tracker.toleranceEndsAt > 9000 + 2000);
});

test('contacts that peers report late neither hide an outage nor start one', () => {
  const tracker = new StoreContactTracker();
  tracker.record(0);
  tracker.recordFailure(1000);
  tracker.record(5000);
  const { toleranceEndsAt } = tracker;
  tracker.record(4900);
  tracker.record(5100);
  assert.equal(tracker.toleranceEndsAt, toleranceEndsAt);
});

test('a gap in which no call failed is no outage, because nobody may have called', () => {
  const tracker = new StoreContactTracker();
  tracker.recordFailure(0);
  tracker.record(100);
  tracker.record(9000);
  assert.ok(tracker.toleranceEndsAt < 9000);
});

test('the first contact of a daemon that has just started is no outage', () => {
  const tracker = new StoreContactTracker();
  tracker.record(100_000);
  assert.ok(tracker.toleranceEndsAt < 100_000);
});

// Guards against a daemon that uses endpoints for seconds after they left, because it takes a suspension for an outage.
test('a gap in which this daemon was suspended is no outage, though a peer reports a failed call', () => {
  const tracker = new StoreContactTracker();
  tracker.record(0);
  tracker.resume(5000);
  tracker.recordFailure(5010);
  tracker.record(5700);
  assert.ok(tracker.toleranceEndsAt < 5700);
});

// Guards against a suspension that hides an outage, after which missing entries return.
test('an outage that a suspension interrupts is still one', () => {
  const tracker = new StoreContactTracker();
  tracker.record(0);
  tracker.recordFailure(1000);
  tracker.resume(5000);
  tracker.record(7000);
  assert.ok(tracker.toleranceEndsAt > 7000 + 2000);
});
