import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { findBrokenVariant } from '../src/broken/variants.js';
import { createVariantOptions } from '../src/measurements/randomised.js';
import { runRandomised } from '../src/randomised/randomised-run.js';

const SEED = 1;
const DURATION_MILLISECONDS = 4000;

// Only the variants that need no faults; runs with faults take longer and are started by hand.
for (const name of ['answer-cut', 'answer-swapped', 'second-execution', 'revision-lowered']) {
  test(`a randomised run catches a daemon with the defect ${name}`, async () => {
    const variant = findBrokenVariant(name);
    const options = createVariantOptions(variant, SEED, DURATION_MILLISECONDS);
    const { book } = await runRandomised({ ...options, daemonsPerZone: 1 });
    assert.ok(book.countViolations(variant.invariant) > 0, book.format());
  });
}
