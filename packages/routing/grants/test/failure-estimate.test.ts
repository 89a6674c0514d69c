import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import * as estimates from '../src/failure-estimate.js';

test('one success after a reset does not make an endpoint trusted again, several in a row do', () => {
  const estimate = new estimates.FailureEstimate(0);
  estimate.observe(estimates.likelihoodRatios.reset, 0);
  estimate.observe(estimates.likelihoodRatios.success, 10);
  assert.ok(estimate.at(10) > 0.5);
  for (let time = 20; time < 60; time += 10) {
    estimate.observe(estimates.likelihoodRatios.success, time);
  }
  assert.ok(estimate.at(60) < 0.1);
});

test('without outcomes the estimate decays to the prior probability, so that old evidence expires', () => {
  const trusted = new estimates.FailureEstimate(0);
  const suspected = new estimates.FailureEstimate(0);
  trusted.observe(0.01, 0);
  suspected.observe(100, 0);
  assert.ok(Math.abs(trusted.at(60_000) - estimates.PRIOR_PROBABILITY) < 0.01);
  assert.ok(Math.abs(suspected.at(60_000) - estimates.PRIOR_PROBABILITY) < 0.01);
});

test('the likelihood ratio of a missing response never decreases with time', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 30, noNaN: true }),
      fc.double({ min: 0, max: 5, noNaN: true }),
      (at, more) => {
        assert.ok(
          estimates.computeSilenceRatio(at + more) >= estimates.computeSilenceRatio(at) - 1e-9,
        );
      },
    ),
  );
  assert.equal(estimates.computeSilenceRatio(1), 1);
});

test('the estimate stays a probability between 0 and 1 for any sequence of outcomes', () => {
  fc.assert(
    fc.property(fc.array(fc.double({ min: 0.001, max: 1000, noNaN: true })), (ratios) => {
      const estimate = new estimates.FailureEstimate(0);
      let now = 0;
      for (const ratio of ratios) {
        now += 5;
        estimate.observe(ratio, now);
        assert.ok(estimate.at(now) > 0 && estimate.at(now) < 1);
      }
    }),
  );
});

test('evidence fades with the time since it was observed, towards none', () => {
  assert.equal(estimates.fadeRatio(300, 0), 300);
  const ratios = [500, 1000, 3000, 10_000, 60_000].map((age) => estimates.fadeRatio(300, age));
  assert.deepEqual(
    ratios,
    [...ratios].sort((left, right) => right - left),
  );
  assert.ok(Math.abs((ratios.at(-1) as number) - 1) < 0.001);
  assert.ok(estimates.fadeRatio(0.1, 1000) > 0.1 && estimates.fadeRatio(0.1, 1000) < 1);
});
