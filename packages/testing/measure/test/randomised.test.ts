import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { measurement as atMostOnce } from '../src/measurements/at-most-once.js';
import { runRandomised } from '../src/randomised/randomised-run.js';

const SMALL = { durationMilliseconds: 12_500, requestsPerSecond: 30, daemonsPerZone: 1 };
const AT_MOST_ONCE_MILLISECONDS = 7000;

async function checkSeed(seed: number): Promise<void> {
  const { book } = await runRandomised({ ...SMALL, seed });
  assert.deepEqual(book.violations, [], book.format());
  assert.deepEqual(book.listUnobserved(), [], book.format());
}

// The runs mostly wait for faults and timers, so they run concurrently.
test('small runs under faults', { concurrency: true }, async (suite) => {
  await Promise.all([
    suite.test('no invariant is violated under the faults of seed 1', () => checkSeed(1)),
    suite.test('no invariant is violated under the faults of seed 2', () => checkSeed(2)),
    suite.test(
      'no key is executed twice and nothing reported as "not run" is executed',
      async () => {
        const failures: string[] = [];
        const figures = await atMostOnce.run({
          seed: 1,
          durationMilliseconds: AT_MOST_ONCE_MILLISECONDS,
          print: () => {},
          fail: (reason) => failures.push(reason),
        });
        assert.deepEqual(failures, []);
        assert.ok((figures.executedKeys ?? 0) > 0);
        assert.equal(figures.keysExecutedMoreThanOnce, 0);
        assert.equal(figures.falselyNotRunAttempts, 0);
        assert.equal(figures.falselyNotRunKeys, 0);
      },
    ),
  ]);
});
