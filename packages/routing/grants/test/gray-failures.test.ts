/**
 * Pattern `gray-failures-at-unrepeatable-work`: checkouts that must not be repeated on endpoints that are in a gray failure
 * 30% of the time, in which three of four requests hang.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { type GrayFailureLoad, GrayFailures } from './gray-failures.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

/** Returns the lost share of all requests, and the largest share of starved spans of a run. */
function measure(load: Omit<GrayFailureLoad, 'milliseconds'>): { lost: number; starved: number } {
  let lost = 0;
  let requests = 0;
  let starved = 0;
  for (const seed of SEEDS) {
    const result = new GrayFailures({ ...load, milliseconds: 24_000 }, seed).run();
    lost += result.lost + result.refused;
    requests += result.requests;
    starved = Math.max(starved, result.starvedSpans);
  }
  return { lost: lost / requests, starved };
}

// Guards against requests that are sent to an endpoint for long after it has become silent. Chosen at random, 23% are lost.
test('gray-failures-at-unrepeatable-work: spells of some seconds lose less than a twelfth', () => {
  const { lost, starved } = measure({ endpoints: 32, requestsPerSecond: 113 });
  assert.ok(lost < 1 / 12, `${lost}`);
  assert.equal(starved, 0);
});

// Guards against endpoints that are tried again and again while they fail for long.
test('gray-failures-at-unrepeatable-work: long spells lose less than a twentieth', () => {
  const states = { healthy: 30_000, failing: 13_000 };
  const { lost, starved } = measure({ endpoints: 32, requestsPerSecond: 113, ...states });
  assert.ok(lost < 1 / 20, `${lost}`);
  assert.equal(starved, 0);
});
