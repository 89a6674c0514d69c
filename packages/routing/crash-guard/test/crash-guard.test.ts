/**
 * Tests of the crash guard.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { CrashGuard, createFingerprint, type Fingerprint } from '../src/index.js';

function fingerprintOf(organisation: string, key: string): Fingerprint {
  return createFingerprint({ organisation, routeName: 'r', idempotencyKey: key, bodyDigest: 'd' });
}

function lose(guard: CrashGuard, endpoint: string, ...requests: Fingerprint[]): void {
  const attempts = requests.map((fingerprint) => guard.started(endpoint, fingerprint));
  const next = guard.started(endpoint, fingerprintOf('probe', endpoint));
  attempts.forEach((attempt) => guard.finished(attempt, 'reset'));
  assert.equal(guard.finished(next, 'refused'), true);
}

const crashing = fingerprintOf('bad', 'crash');
let time = 0;
const create = (origin = 'a'): CrashGuard =>
  new CrashGuard({ now: () => time, origin, entriesPerOrganisation: 3 });

test('refuses a request after two lost servers, so that a resend can not crash a third', () => {
  const guard = create();
  lose(guard, 'one', crashing, fingerprintOf('good', '1'));
  guard.check(crashing);
  lose(guard, 'two', crashing, fingerprintOf('good', '2'));
  assert.throws(() => guard.check(crashing), results.FailureError);
  assert.equal(guard.isCrashing(fingerprintOf('good', '1')), false);
  assert.equal(guard.isCrashing(fingerprintOf('good', 'crash')), false);
});

test('counts several resets of one crash as one loss', () => {
  const guard = create();
  lose(guard, 'one', crashing, crashing, crashing);
  assert.equal(guard.isCrashing(crashing), false);
});

test('does not take a single reset of a server that still answers for a loss', () => {
  const guard = create();
  for (const endpoint of ['one', 'two']) {
    assert.equal(guard.finished(guard.started(endpoint, crashing), 'reset'), false);
    time += 1;
    const later = guard.started(endpoint, fingerprintOf('good', 'x'));
    assert.equal(guard.finished(later, 'answered'), false);
    const refused = guard.started(endpoint, fingerprintOf('good', 'y'));
    assert.equal(guard.finished(refused, 'refused'), false);
  }
  assert.equal(guard.isCrashing(crashing), false);
});

test('shares losses between dispatchers, counting none twice, and forgets after 10 minutes', () => {
  const first = create('a');
  const second = create('b');
  lose(first, 'one', crashing);
  second.importEntries(first.exportEntries());
  second.importEntries(first.exportEntries());
  assert.equal(second.isCrashing(crashing), false);
  lose(second, 'two', crashing);
  assert.equal(second.isCrashing(crashing), true);
  time += 600_000;
  assert.equal(second.isCrashing(crashing), false);
  assert.deepEqual(second.exportEntries(), []);
});

test('keeps a bounded number of entries for an organisation', () => {
  const guard = create();
  for (let index = 0; index < 10; index += 1) {
    lose(guard, `server-${index}`, fingerprintOf('bad', `key-${index}`));
  }
  assert.equal(guard.exportEntries().length, 3);
});
