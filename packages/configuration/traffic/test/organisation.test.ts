/**
 * Organisations and the digests of their tokens.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { OrganisationIndex, digestToken, organisationSchema } from '../src/index.js';

const acme = {
  name: 'acme',
  tokenDigests: [digestToken('one'), digestToken('two')],
  requestsPerSecond: 0,
  burst: 0,
};

test('an organisation is found by each of its tokens, and not by a digest or a part of one', () => {
  const index = new OrganisationIndex([acme]);
  assert.equal(index.findByToken('one')?.name, 'acme');
  assert.equal(index.findByToken('two')?.name, 'acme');
  for (const token of ['', 'on', 'ones', digestToken('one')]) {
    assert.equal(index.findByToken(token), undefined, token);
  }
});

test('a name that would split a header is rejected', () => {
  for (const name of ['', ' acme', 'acme ', 'a\r\nInjected: 1', 'ärger', 'a'.repeat(300)]) {
    assert.equal(organisationSchema.safeParse({ ...acme, name }).success, false, name);
  }
  assert.equal(organisationSchema.safeParse({ ...acme, name: 'Acme & Co' }).success, true);
});
