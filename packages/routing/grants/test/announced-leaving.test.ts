/**
 * Endpoints that announce in a response that they are about to stop, or that they want a pause from one daemon.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualService, createEndpoint } from './fixture.js';

const leaving = { requestsPerSecond: null, leaving: true, pauseMilliseconds: 0 };
const paused = { requestsPerSecond: null, leaving: false, pauseMilliseconds: 2000 };

test('an endpoint that announces to one daemon that it leaves is granted to none, though the directory lists it', () => {
  const endpoints = [createEndpoint('one'), createEndpoint('other')];
  const service = new VirtualService(endpoints);
  const first = service.grantOf(service.ask({ excluded: new Set(['other']) }));
  const report = { elapsed: 20, load: -1, silent: false, rested: 0 };
  service.dispatcher.report(first.grantId, {
    ...report,
    outcome: 'success',
    announcement: leaving,
  });
  service.dispatcher.updateEndpoints(endpoints);
  for (let count = 0; count < 20; count += 1) {
    service.now += 100;
    const granted = service.run('success', 20, service.ask({ entry: 'entry-2', idempotent: true }));
    assert.equal(granted.endpoint.id, 'other');
  }
});

test('a request is refused at once when all endpoints have announced that they leave', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('error', 20, service.ask(), leaving);
  const decision = service.decisions.get(service.ask());
  assert.ok(decision?.kind === 'refuse' && decision.reason === 'no-endpoint');
});

test('a pause keeps the daemon that was told away from the endpoint, and no other daemon', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('shed', 5, service.ask({ entry: 'told' }), paused);
  assert.equal(service.decisions.get(service.ask({ entry: 'told' })), undefined, 'waits');
  assert.equal(service.run('success', 20, service.ask({ entry: 'other' })).endpoint.id, 'one');
  service.now += 1900;
  service.run('success', 50, service.ask({ entry: 'other' }));
  service.now += 50;
  assert.equal(service.grantOf(service.ask({ entry: 'told' })).endpoint.id, 'one', 'has ended');
});

test('an unused grant of a daemon that knows more tells the dispatcher, and ends no limit', () => {
  const service = new VirtualService([createEndpoint('one'), createEndpoint('other')]);
  const limited = { ...leaving, leaving: false, requestsPerSecond: 50 };
  const { endpoint } = service.run('success', 20, service.ask(), limited);
  service.now += 100;
  const key = service.ask({ excluded: new Set(endpoint.id === 'one' ? ['other'] : ['one']) });
  service.run('unused', 0, key, leaving);
  assert.deepEqual(service.dispatcher.announcements.list(), [
    { endpoint: endpoint.id, lifetime: 1, requestsPerSecond: 50, leaving: true, age: 0 },
  ]);
});
