import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { UnreadableAnnouncements } from '../src/unreadable-announcements.js';

test('an endpoint that keeps announcing what can not be read does not flood the log', () => {
  const announcements = new UnreadableAnnouncements();
  const recorded = ['limit: x', 'limit: x', 'limit: y', 'limit: y', 'limit: x'].map((header) =>
    announcements.record('e1', header),
  );
  assert.deepEqual(recorded, [true, false, true, false, true]);
  assert.equal(announcements.record('e2', 'limit: x'), true);
});

test('endpoints without number do not grow the memory of unreadable announcements', () => {
  const announcements = new UnreadableAnnouncements();
  for (let index = 0; index < 5000; index += 1) {
    announcements.record(`e${index}`, 'limit: x');
  }
  assert.equal(announcements.record('e4999', 'limit: x'), false);
  assert.equal(announcements.record('e0', 'limit: x'), true, 'was forgotten');
});
