import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fastCheck from 'fast-check';
import * as model from '@dogwoodstall/model';
import { ConfigurationState } from '../src/state.js';
import { createChange } from './memory-log.js';

const updates = fastCheck.array(
  fastCheck.record({
    revision: fastCheck.integer({ min: 1, max: 8 }),
    isSnapshot: fastCheck.boolean(),
  }),
  { maxLength: 40 },
);

function createConfiguration(revision: number): model.Configuration {
  let configuration = model.Configuration.empty();
  for (let next = 1; next <= revision; next += 1) {
    configuration = configuration.apply(createChange(next));
  }
  return configuration;
}

test('the revision never decreases or skips a change, in any order of changes and snapshots', () => {
  const property = fastCheck.property(updates, (items) => {
    const state = new ConfigurationState();
    const seen: number[] = [];
    state.onReplace((configuration) => {
      seen.push(configuration.revision);
      assert.equal(configuration.zones.size, configuration.revision);
    });
    state.replaceConfiguration(model.Configuration.empty());
    for (const { revision, isSnapshot } of items) {
      if (isSnapshot) {
        state.replaceConfiguration(createConfiguration(revision));
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

test('only changes after a replaced configuration are buffered', () => {
  const state = new ConfigurationState();
  state.replaceConfiguration(createConfiguration(2));
  state.applyChange(createChange(3));
  assert.equal(state.recent.getPageAfter(1), undefined);
  assert.deepEqual(
    state.recent.getPageAfter(2)?.map((change) => change.revision),
    [3],
  );
});
