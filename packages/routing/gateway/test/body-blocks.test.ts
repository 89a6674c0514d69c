import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { BodyBlocks } from '../src/body-blocks.js';
import { MemoryBudget } from '../src/memory-budget.js';
import { MemoryShare } from '../src/memory-share.js';

const MEGABYTE = 1_048_576;

function createShare(megabytes: number): MemoryShare {
  return new MemoryShare(new MemoryBudget({ maximumBytes: megabytes * MEGABYTE }));
}

test('a body comes out as it went in, however it was cut, and returns all its memory', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 9000 }), { maxLength: 20 }),
      fc.integer({ min: 0, max: 100_000 }),
      (pieces, expectedBytes) => {
        const share = createShare(8);
        const blocks = new BodyBlocks(share, expectedBytes);
        for (const piece of pieces) {
          assert.equal(blocks.append(Buffer.from(piece)), true);
        }
        assert.deepEqual(Buffer.concat(blocks.list()), Buffer.concat(pieces));
        assert.ok(share.held >= blocks.length, `${share.held} bytes for ${blocks.length}`);
        blocks.release();
        assert.equal(share.held, 0);
      },
    ),
  );
});

// Guards against pieces of one byte that take many times their size.
test('a body in pieces of one byte takes few blocks', () => {
  const blocks = new BodyBlocks(createShare(4));
  for (let count = 0; count < MEGABYTE; count += 1) {
    blocks.append(Buffer.from('x'));
  }
  assert.equal(blocks.length, MEGABYTE);
  assert.ok(blocks.list().length < 12, `${blocks.list().length} blocks`);
});

test('a body beyond the memory limit is not collected', () => {
  const share = createShare(1);
  const blocks = new BodyBlocks(share);
  let count = 0;
  while (blocks.append(Buffer.alloc(10_000))) {
    count += 1;
  }
  assert.ok(count * 10_000 <= MEGABYTE);
  blocks.release();
  assert.equal(share.held, 0);
});
