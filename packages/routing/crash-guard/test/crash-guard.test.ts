/**
 * Tests of the recognition of requests that crash backend servers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { CrashGuard, createFingerprint, type Fingerprint } from '../src/index.js';

function createTestFingerprint(organisation: string, key: string): Fingerprint {
  return createFingerprint({ organisation, routeName: 'r', idempotencyKey: key, bodyDigest: 'd' });
}

function simulateLoss(guard: CrashGuard, endpoint: string, ...requests: Fingerprint[]): void {
  const attempts = requests.map((fingerprint) => guard.startAttempt(endpoint, fingerprint));
  const next = guard.startAttempt(endpoint, createTestFingerprint('probe', endpoint));
  attempts.forEach((attempt) => guard.finishAttempt(attempt, 'reset'));
  assert.equal(guard.finishAttempt(next, 'refused'), true);
}

const crashing = createTestFingerprint('bad', 'crash');
let time = 0;
const createGuard = (origin = 'a'): CrashGuard =>
  new CrashGuard({ now: () => time, origin, entriesPerOrganisation: 3 });

test('refuses a request after two lost servers, so that a resend cannot crash a third', () => {
  const guard = createGuard();
  simulateLoss(guard, 'one', crashing, createTestFingerprint('good', '1'));
  guard.assertNotCrashing(crashing);
  simulateLoss(guard, 'two', crashing, createTestFingerprint('good', '2'));
  assert.throws(() => guard.assertNotCrashing(crashing), results.FailureError);
  assert.equal(guard.isCrashing(createTestFingerprint('good', '1')), false);
  assert.equal(guard.isCrashing(createTestFingerprint('good', 'crash')), false);
});

test('counts several resets of one crash as one loss', () => {
  const guard = createGuard();
  simulateLoss(guard, 'one', crashing, crashing, crashing);
  assert.equal(guard.isCrashing(crashing), false);
});

test('does not count a single reset as a loss if the server still responds', () => {
  const guard = createGuard();
  for (const endpoint of ['one', 'two']) {
    assert.equal(guard.finishAttempt(guard.startAttempt(endpoint, crashing), 'reset'), false);
    time += 1;
    const later = guard.startAttempt(endpoint, createTestFingerprint('good', 'x'));
    assert.equal(guard.finishAttempt(later, 'answered'), false);
    const refused = guard.startAttempt(endpoint, createTestFingerprint('good', 'y'));
    assert.equal(guard.finishAttempt(refused, 'refused'), false);
  }
  assert.equal(guard.isCrashing(crashing), false);
});

test('shares losses between dispatchers, counts none twice and expires them after 10 minutes', () => {
  const first = createGuard('a');
  const second = createGuard('b');
  simulateLoss(first, 'one', crashing);
  second.importEntries(first.exportEntries());
  second.importEntries(first.exportEntries());
  assert.equal(second.isCrashing(crashing), false);
  simulateLoss(second, 'two', crashing);
  assert.equal(second.isCrashing(crashing), true);
  time += 600_000;
  assert.equal(second.isCrashing(crashing), false);
  assert.deepEqual(second.exportEntries(), []);
});

test('limits the number of entries of an organisation', () => {
  const guard = createGuard();
  for (let index = 0; index < 10; index += 1) {
    simulateLoss(guard, `server-${index}`, createTestFingerprint('bad', `key-${index}`));
  }
  assert.equal(guard.exportEntries().length, 3);
});
