import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fastCheck from 'fast-check';
import * as membership from '../src/index.js';

const own: membership.Member = {
  name: 'own',
  zone: 'z',
  region: 'r',
  peerAddress: '127.0.0.1:1',
  incarnation: 1,
  counter: 0,
  state: 'alive',
  condition: 'ready',
  revision: 0,
  keyHomes: [],
};

const updates = fastCheck.array(
  fastCheck.record({
    name: fastCheck.constantFrom('a', 'b'),
    incarnation: fastCheck.integer({ min: 1, max: 3 }),
    counter: fastCheck.integer({ min: 0, max: 3 }),
    state: fastCheck.constantFrom('alive', 'suspect', 'leaving', 'failed'),
    revision: fastCheck.integer({ min: 0, max: 5 }),
  }),
  { maxLength: 12 },
);

function mergeAll(items: readonly Partial<membership.Member>[]): membership.Member[] {
  const table = new membership.MemberTable(own, () => {});
  items.forEach((item) => table.merge({ ...own, ...item }));
  return [...table.peers].sort((left, right) => (left.name < right.name ? -1 : 1));
}

test('the merged state does not depend on the order or the repetition of updates', () => {
  const property = fastCheck.property(
    updates.chain((items) =>
      fastCheck.tuple(
        fastCheck.constant(items),
        fastCheck.shuffledSubarray([...items, ...items], {
          minLength: items.length * 2,
          maxLength: items.length * 2,
        }),
      ),
    ),
    ([items, shuffled]) => assert.deepEqual(mergeAll(items), mergeAll(shuffled)),
  );
  fastCheck.assert(property, { seed: 20_261, numRuns: 500 });
});

test('a suspicion of this daemon is refuted at any counter, and one of an earlier process is ignored', () => {
  const property = fastCheck.property(
    fastCheck.integer({ min: 0, max: 50 }),
    fastCheck.constantFrom('suspect' as const, 'failed' as const),
    (counter, state) => {
      const table = new membership.MemberTable(own, () => {});
      table.merge({ ...own, incarnation: 0, counter, state });
      assert.equal(table.self.counter, 0);
      table.merge({ ...own, counter, state });
      assert.ok(table.self.counter > counter && table.self.state === 'alive');
    },
  );
  fastCheck.assert(property, { seed: 20_262, numRuns: 200 });
});
