import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { ConnectionHistory } from '../src/connection-history.js';

const requestIds = fc.option(fc.constantFrom('r1', 'r2', 'r3', 'r4'), { nil: undefined });
const requests = fc.array(
  fc.record({ requestId: requestIds, idempotent: fc.boolean(), isRefused: fc.boolean() }),
);

// Guards against a response that is recognised by its id although an earlier response may bear the same one.
test('a connection carries no id twice, and no request that must not repeat directly after a refusal', () => {
  fc.assert(
    fc.property(requests, (sent) => {
      const history = new ConnectionHistory();
      const carried = new Set<string | undefined>();
      let wasRefused = false;
      for (const request of sent) {
        const expected: boolean =
          !carried.has(request.requestId) && (request.idempotent || !wasRefused);
        assert.equal(history.mayCarry(request), expected);
        if (expected) {
          history.add(request.requestId);
          carried.add(request.requestId);
          history.recordResponse(request.isRefused);
          wasRefused = request.isRefused;
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
    history.add(`request-${count}`);
    count += 1;
  }
  assert.ok(count <= 256, `${count} requests`);
});
