import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '../src/index.js';

test('result numbers are unique, so that a number in a log identifies one result', () => {
  const numbers = Object.values(results.resultTable).map((definition) => definition.number);
  assert.equal(new Set(numbers).size, numbers.length);
});

test('an error that carries no failure is converted to InternalError with its message', () => {
  const failure = results.toFailure(new TypeError('no such property'));
  assert.equal(failure.kind, 'InternalError');
  assert.equal(failure.message, 'no such property');
});
