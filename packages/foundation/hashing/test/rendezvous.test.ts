import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fastCheck from 'fast-check';
import * as hashing from '../src/index.js';

const identity = (member: string): string => member;

test('removing a member does not change the ranking of the remaining members', () => {
  const names = fastCheck.uniqueArray(fastCheck.string({ minLength: 1 }), {
    minLength: 2,
    maxLength: 20,
  });
  fastCheck.assert(
    fastCheck.property(names, fastCheck.string(), (members, key) => {
      const before = hashing.rankMembers(key, members, identity);
      const removed = before.at(-1);
      const after = hashing.rankMembers(
        key,
        members.filter((member) => member !== removed),
        identity,
      );
      assert.deepEqual(after, before.slice(0, -1));
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('the ranking does not depend on the order of the members', () => {
  const members = ['a', 'b', 'c', 'd'];
  const forwards = hashing.rankMembers('cell', members, identity);
  const backwards = hashing.rankMembers('cell', [...members].reverse(), identity);
  assert.deepEqual(forwards, backwards);
});

test('adding a group reassigns only names that move to the new group', () => {
  for (let index = 0; index < 500; index += 1) {
    const before = hashing.assignGroup(`server-${index}`, 3);
    const after = hashing.assignGroup(`server-${index}`, 4);
    assert.ok(after === before || after === 3);
  }
});
