import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { MemoryBudget } from '../src/memory-budget.js';
import { MemoryShare } from '../src/memory-share.js';

const MEGABYTE = 1_048_576;

test('a small request is served while large ones have used up their part of the memory', () => {
  const budget = new MemoryBudget({ maximumBytes: 100 * MEGABYTE });
  const large = new MemoryShare(budget);
  while (large.reserve(MEGABYTE));
  const small = new MemoryShare(budget);
  assert.equal(small.reserve(4096), true);
  assert.equal(small.reserve(50 * MEGABYTE), false);
});

test('a closed share returns its memory once and reserves none any more', () => {
  const budget = new MemoryBudget({ maximumBytes: 10 * MEGABYTE });
  const share = new MemoryShare(budget);
  share.reserve(9 * MEGABYTE);
  share.close();
  share.close();
  share.release(MEGABYTE);
  assert.equal(share.reserve(1), false);
  const next = new MemoryShare(budget);
  assert.equal(next.reserve(9 * MEGABYTE), true);
  assert.equal(new MemoryShare(budget).reserve(2 * MEGABYTE), false);
});

// Guards against limits that are each kept and together exceed the memory of the process.
test('two limits with a common one leave each other the difference and do not exceed it together', () => {
  const parent = new MemoryBudget({ maximumBytes: 40 * MEGABYTE });
  const [bodies, responses] = [1, 2].map(
    () => new MemoryBudget({ maximumBytes: 30 * MEGABYTE, parent }),
  ) as [MemoryBudget, MemoryBudget];
  const fill = (budget: MemoryBudget): number => {
    const share = new MemoryShare(budget);
    while (share.reserve(MEGABYTE));
    return share.held / MEGABYTE;
  };
  const [first, second] = [fill(bodies), fill(responses)];
  assert.ok(first >= 25 && first <= 30, `${first} MB`);
  assert.ok(second >= 5 && first + second <= 40, `${second} MB`);
});

test('memory is reclaimed before a reservation fails', () => {
  const held: MemoryShare[] = [];
  const missing: number[] = [];
  const budget = new MemoryBudget({
    maximumBytes: 10 * MEGABYTE,
    reclaim: (bytes) => {
      missing.push(bytes);
      held.shift()?.close();
    },
  });
  for (let count = 0; count < 20; count += 1) {
    const share = new MemoryShare(budget);
    assert.equal(share.reserve(3 * MEGABYTE), true, `reservation ${count}`);
    held.push(share);
  }
  assert.ok(missing.length >= 17);
});
