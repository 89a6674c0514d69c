import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { ConnectionHistory } from '../src/connection-history.js';

const requestIds = fc.option(fc.constantFrom('r1', 'r2', 'r3', 'r4'), { nil: undefined });

// Guards against a response that is recognised by its id although an earlier response may bear the same one.
test('a connection carries no id twice, and knows each id but the current one as earlier', () => {
  fc.assert(
    fc.property(fc.array(requestIds), (sent) => {
      const history = new ConnectionHistory();
      const carried = new Set<string | undefined>();
      for (const requestId of sent) {
        const mayCarry = history.mayCarry(requestId);
        assert.equal(mayCarry, !carried.has(requestId));
        if (mayCarry) {
          history.add({ requestId, method: 'POST' });
          for (const earlier of carried) {
            assert.ok(history.findEarlier(earlier));
          }
          assert.equal(history.findEarlier(requestId), undefined);
          carried.add(requestId);
        }
      }
    }),
    { seed: 1 },
  );
});

// Guards against memory that grows with the requests of a connection.
test('a connection is full after a fixed number of requests', () => {
  const history = new ConnectionHistory();
  let count = 0;
  while (!history.isFull) {
    history.add({ requestId: `request-${count}`, method: 'GET' });
    count += 1;
  }
  assert.ok(count <= 256, `${count} requests`);
});
