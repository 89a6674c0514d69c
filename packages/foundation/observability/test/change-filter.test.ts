import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChangeFilter } from '../src/change-filter.js';

test('an endpoint that keeps announcing what can not be read does not flood the log', () => {
  const filter = new ChangeFilter();
  const recorded = ['limit: x', 'limit: x', 'limit: y', 'limit: y', 'limit: x'].map((header) =>
    filter.record('e1', header),
  );
  assert.deepEqual(recorded, [true, false, true, false, true]);
  assert.equal(filter.record('e2', 'limit: x'), true);
});

test('endpoints without number do not grow the memory of the filter', () => {
  const filter = new ChangeFilter();
  for (let index = 0; index < 5000; index += 1) {
    filter.record(`e${index}`, 'limit: x');
  }
  assert.equal(filter.record('e4999', 'limit: x'), false);
  assert.equal(filter.record('e0', 'limit: x'), true, 'was forgotten');
});
