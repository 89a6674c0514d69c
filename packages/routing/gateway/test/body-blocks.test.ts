import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { BodyBlocks } from '../src/body-blocks.js';
import { MemoryBudget } from '../src/body-buffer.js';

const MEGABYTE = 1_048_576;

function countReserved(budget: MemoryBudget, maximum: number): number {
  let low = 0;
  let high = maximum;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (budget.reserve(middle)) {
      budget.release(middle);
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return maximum - low;
}

test('a body comes out as it went in, however it was cut, and returns all its memory', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 9000 }), { maxLength: 20 }),
      fc.integer({ min: 0, max: 100_000 }),
      (pieces, expectedBytes) => {
        const budget = new MemoryBudget(8 * MEGABYTE);
        const blocks = new BodyBlocks(budget, expectedBytes);
        for (const piece of pieces) {
          assert.equal(blocks.append(Buffer.from(piece)), true);
        }
        assert.deepEqual(Buffer.concat(blocks.list()), Buffer.concat(pieces));
        const reserved = countReserved(budget, 8 * MEGABYTE);
        assert.ok(reserved >= blocks.length, `${reserved} bytes for ${blocks.length}`);
        blocks.release();
        assert.equal(countReserved(budget, 8 * MEGABYTE), 0);
      },
    ),
  );
});

// Guards against pieces of one byte that take many times their size.
test('a body in pieces of one byte takes few blocks', () => {
  const blocks = new BodyBlocks(new MemoryBudget(4 * MEGABYTE));
  for (let count = 0; count < MEGABYTE; count += 1) {
    blocks.append(Buffer.from('x'));
  }
  assert.equal(blocks.length, MEGABYTE);
  assert.ok(blocks.list().length < 12, `${blocks.list().length} blocks`);
});

test('a body beyond the memory limit is not collected', () => {
  const budget = new MemoryBudget(MEGABYTE);
  const blocks = new BodyBlocks(budget);
  let count = 0;
  while (blocks.append(Buffer.alloc(10_000))) {
    count += 1;
  }
  assert.ok(count * 10_000 <= MEGABYTE);
  blocks.release();
  assert.equal(countReserved(budget, MEGABYTE), 0);
});
