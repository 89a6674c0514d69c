import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { EntryLimiter } from '../src/entry-limiter.js';
import { call, createFleet, startBackend, startDaemon } from './fixture.js';

test('a daemon with all places taken refuses further requests, and serves again afterwards', async (context) => {
  const answers: (() => void)[] = [];
  const backend = await startBackend(context, (_request, response) => {
    answers.push(() => response.end('ok'));
  });
  const fleet = createFleet([backend.address], { limits: { requestsInFlight: 4 } });
  const daemon = await startDaemon(context, fleet);
  const running = [call(daemon.port), call(daemon.port)];
  while (backend.requests.length < 2) {
    await new Promise(setImmediate);
  }
  const flooded = await call(daemon.port);
  assert.equal(flooded.headers['dogwoodstall-result'], '2013');
  assert.equal(flooded.headers['dogwoodstall-execution'], 'not-run');
  for (const answer of answers.splice(0)) {
    answer();
  }
  for (const { status } of await Promise.all(running)) {
    assert.equal(status, 200);
  }
  const later = call(daemon.port);
  while (answers.length === 0) {
    await new Promise(setImmediate);
  }
  answers[0]?.();
  assert.equal((await later).status, 200);
});

test('one organisation can not take the places of the others', () => {
  const limits = new EntryLimiter(4);
  const flood = [limits.reserve(), limits.reserve()];
  for (const place of flood) {
    place.assignOrganisation('flood');
  }
  const third = limits.reserve();
  assert.throws(
    () => third.assignOrganisation('flood'),
    (error) => results.isFailure(error, 'OrganisationShareExceeded'),
  );
  third.release();
  third.release();
  const others = [limits.reserve(), limits.reserve()];
  for (const place of others) {
    place.assignOrganisation('other');
  }
  assert.throws(
    () => limits.reserve(),
    (error) => results.isFailure(error, 'DaemonFull'),
  );
});
