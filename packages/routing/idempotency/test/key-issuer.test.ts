import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import * as idempotency from '../src/index.js';

const first = Buffer.alloc(32, 1);
const second = Buffer.alloc(32, 2);
const request = {
  home: 'daemon-a',
  incarnation: 'daemon-a-1',
  organisation: 'sertao',
  service: 'avaliacao.v2',
  lifetimeMilliseconds: 1000,
};

function isInvalid(error: unknown): boolean {
  return results.isFailure(error, 'KeyInvalid');
}

test('a key signed with the previous fleet key is valid during a rotation and invalid after it', () => {
  const key = new idempotency.KeyIssuer({ fleetKeys: [first] }).issue(request);
  const issuer = new idempotency.KeyIssuer({ fleetKeys: [second, first] });
  const contents = issuer.verify(key);
  assert.equal(contents.home, 'daemon-a');
  assert.equal(contents.service, 'avaliacao.v2');
  idempotency.checkKeyOwner(contents, 'sertao', 'avaliacao.v2');
  issuer.replaceFleetKeys([second]);
  assert.throws(() => issuer.verify(key), isInvalid);
});

test('a key with any changed part is invalid, so that no caller chooses the home or the lifetime', () => {
  const issuer = new idempotency.KeyIssuer({ fleetKeys: [first] });
  const parts = issuer.issue(request).split('.');
  for (let index = 0; index < parts.length; index += 1) {
    const changed = parts.map((part, position) => (position === index ? `${part}1` : part));
    assert.throws(() => issuer.verify(changed.join('.')), isInvalid);
  }
  assert.throws(() => issuer.verify(''), isInvalid);
  assert.throws(() => issuer.verify('x.'.repeat(10_000)), isInvalid);
});

test('a key of another organisation or service is rejected', () => {
  const issuer = new idempotency.KeyIssuer({ fleetKeys: [first] });
  const key = issuer.verify(issuer.issue(request));
  for (const [organisation, service] of [
    ['other', 'avaliacao.v2'],
    ['sertao', 'arquivo'],
  ] as const) {
    assert.throws(
      () => idempotency.checkKeyOwner(key, organisation, service),
      (error) => results.isFailure(error, 'KeyForeign'),
    );
  }
});
