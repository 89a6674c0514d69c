import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { EntryLimiter } from '../src/entry-limiter.js';
import { call, createFleet, startBackend, startDaemon } from './fixture.js';

test('an organisation at its share of requests in flight is rejected, and served again afterwards', async (context) => {
  const responders: (() => void)[] = [];
  const backend = await startBackend(context, (_request, response) => {
    responders.push(() => response.end('ok'));
  });
  const fleet = createFleet([backend.address], { limits: { requestsInFlight: 4 } });
  const daemon = await startDaemon(context, fleet);
  const running = [call(daemon.port), call(daemon.port)];
  while (backend.requests.length < 2) {
    await new Promise(setImmediate);
  }
  const rejected = await call(daemon.port);
  assert.equal(rejected.headers['dogwoodstall-result'], '2013');
  assert.equal(rejected.headers['dogwoodstall-execution'], 'not-run');
  for (const respond of responders.splice(0)) {
    respond();
  }
  for (const { status } of await Promise.all(running)) {
    assert.equal(status, 200);
  }
  const later = call(daemon.port);
  while (responders.length === 0) {
    await new Promise(setImmediate);
  }
  responders[0]?.();
  assert.equal((await later).status, 200);
});

test('one organisation can not use up the capacity of the others', () => {
  const limiter = new EntryLimiter(4);
  const flood = [limiter.reserve(), limiter.reserve()];
  for (const reservation of flood) {
    reservation.assignOrganisation('flood');
  }
  const third = limiter.reserve();
  assert.throws(
    () => third.assignOrganisation('flood'),
    (error) => results.isFailure(error, 'OrganisationShareExceeded'),
  );
  third.release();
  third.release();
  const others = [limiter.reserve(), limiter.reserve()];
  for (const reservation of others) {
    reservation.assignOrganisation('other');
  }
  assert.throws(
    () => limiter.reserve(),
    (error) => results.isFailure(error, 'DaemonFull'),
  );
});
