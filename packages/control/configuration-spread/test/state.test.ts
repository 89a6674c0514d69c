import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fastCheck from 'fast-check';
import * as model from '@dogwoodstall/model';
import { ConfigurationState } from '../src/state.js';
import { createChange } from './memory-log.js';

const arrivals = fastCheck.array(
  fastCheck.record({
    revision: fastCheck.integer({ min: 1, max: 8 }),
    whole: fastCheck.boolean(),
  }),
  { maxLength: 40 },
);

function createWhole(revision: number): model.Configuration {
  let configuration = model.Configuration.empty();
  for (let next = 1; next <= revision; next += 1) {
    configuration = configuration.apply(createChange(next));
  }
  return configuration;
}

test('a revision never decreases and has no gap, in whatever order changes and snapshots arrive', () => {
  const property = fastCheck.property(arrivals, (items) => {
    const state = new ConfigurationState();
    const seen: number[] = [];
    state.onReplace((configuration) => {
      seen.push(configuration.revision);
      assert.equal(configuration.zones.size, configuration.revision);
    });
    state.replaceWhole(model.Configuration.empty());
    for (const { revision, whole } of items) {
      if (whole) {
        state.replaceWhole(createWhole(revision));
      } else {
        state.applyChange(createChange(revision));
      }
    }
    assert.deepEqual(
      seen,
      [...new Set(seen)].sort((left, right) => left - right),
    );
  });
  fastCheck.assert(property, { seed: 20_263, numRuns: 300 });
});

test('changes after a whole configuration are kept without those before it', () => {
  const state = new ConfigurationState();
  state.replaceWhole(createWhole(2));
  state.applyChange(createChange(3));
  assert.equal(state.recent.pageAfter(1), undefined);
  assert.deepEqual(
    state.recent.pageAfter(2)?.map((change) => change.revision),
    [3],
  );
});
