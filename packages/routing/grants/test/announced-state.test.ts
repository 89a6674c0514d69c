import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnnouncedState } from '../src/announced-state.js';
import { VirtualService, createEndpoint } from './fixture.js';

const limited = { requestsPerSecond: 5, leaving: false, pauseMilliseconds: 0 };

test('a change of what an endpoint announces is reported once, with the daemon that saw it', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('success', 20, service.ask({ entry: 'first' }), limited);
  service.now += 1000;
  service.run('success', 20, service.ask({ entry: 'second' }), limited);
  service.now += 1000;
  service.run('success', 20, service.ask({ entry: 'third' }));
  assert.deepEqual(
    service.announcements.map(({ source, requestsPerSecond }) => [source, requestsPerSecond]),
    [
      ['first', 5],
      ['third', null],
    ],
  );
});

test('a response to an earlier request does not end a limit that a later one announced', () => {
  const state = new AnnouncedState();
  assert.ok(state.apply(limited, 1000, 1100));
  assert.ok(!state.apply({ requestsPerSecond: null, leaving: false }, 1050, 1150));
  assert.equal(state.requestsPerSecond, 5);
  assert.ok(state.apply({ requestsPerSecond: null, leaving: false }, 1101, 1200));
  assert.ok(state.isEmpty);
});

test('an attempt without a response does not end a limit', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('success', 20, service.ask(), limited);
  service.now += 1000;
  service.run('abandoned', 300);
  assert.equal(service.announcements.length, 1);
});

test('a new process of an endpoint is not bound by what the old one announced', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('success', 20, service.ask(), { ...limited, leaving: true });
  service.dispatcher.updateEndpoints([createEndpoint('one', { lifetime: 2 })]);
  assert.equal(service.grantOf(service.ask()).endpoint.lifetime, 2);
});
