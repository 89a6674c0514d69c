import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { gatewaySettingsSchema } from '../src/index.js';

const required = {
  name: 'daemon-1',
  zone: 'a',
  listen: {
    caller: '127.0.0.1:1',
    readiness: '127.0.0.1:2',
    peer: '127.0.0.1:3',
    datagramPort: 4,
  },
  store: { address: '127.0.0.1:5' },
};

function findProblems(changes: object): string[] {
  const { error } = gatewaySettingsSchema.safeParse({ ...required, ...changes });
  return (error?.issues ?? []).map(({ path, message }) => `${path.join('.')}: ${message}`);
}

test('without a section, hedging has no limits of its own; with a share, the others have defaults', () => {
  assert.equal(gatewaySettingsSchema.parse(required).hedging, undefined);
  assert.deepEqual(gatewaySettingsSchema.parse({ ...required, hedging: { share: 0.05 } }).hedging, {
    share: 0.05,
    quantile: 0.95,
    maximumLoad: 0.8,
    reserve: 0.5,
  });
});

// Guards against a mistyped limit that silently leaves its default in force.
test('limits of hedging that are unknown, missing, out of range or beyond the retry budget are named', () => {
  const cases: readonly (readonly [object, RegExp])[] = [
    [{ hedging: {} }, /hedging\.share/],
    [{ hedging: { share: 0.05, maxLoad: 0.5 } }, /hedging: .*maxLoad/],
    [{ hedging: { share: 1.5 } }, /hedging\.share/],
    [{ hedging: { share: 0.05, quantile: 1 } }, /hedging\.quantile/],
    [{ hedging: { share: 0.05, maximumLoad: 0 } }, /hedging\.maximumLoad/],
    [{ hedging: { share: 0.05, reserve: -1 } }, /hedging\.reserve/],
    [{ hedging: { share: 0.3 } }, /hedging\.share: must not exceed retries\.ratio/],
    [{ hedging: { share: 0.3 }, retries: { ratio: 0.1 } }, /hedging\.share: must not exceed/],
  ];
  for (const [changes, expected] of cases) {
    assert.match(findProblems(changes).join('\n'), expected);
  }
});
