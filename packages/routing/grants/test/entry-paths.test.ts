/**
 * Entry daemons that do not reach some endpoints although others do, in virtual time.
 *
 * Pattern `zone-path-loss`: a fifth of the entry daemons of a cell lose their paths to almost half of its endpoints, while
 * all daemons send work. A connection that fails must not take the endpoint away from the daemons that reach it.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { EntryPaths } from '../src/entry-paths.js';
import { VirtualService, createEndpoint } from './fixture.js';

const CONNECT_TIMEOUT_MILLISECONDS = 250;
const SERVICE_MILLISECONDS = 200;

test('a failed connection of one entry daemon takes the endpoint away from that daemon only', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('success', 50, service.ask({ entry: 'reaches' }));
  service.run('refused', CONNECT_TIMEOUT_MILLISECONDS, service.ask({ entry: 'cut-off' }));
  assert.equal(service.decisions.get(service.ask({ entry: 'cut-off' })), undefined);
  assert.equal(service.grantOf(service.ask({ entry: 'reaches' })).endpoint.id, 'one');
});

test('an endpoint that no entry daemon has reached since is in backoff for all', () => {
  const service = new VirtualService([createEndpoint('one')]);
  service.run('success', 50, service.ask({ entry: 'first' }));
  service.now += 1500;
  service.run('refused', CONNECT_TIMEOUT_MILLISECONDS, service.ask({ entry: 'first' }));
  assert.equal(service.decisions.get(service.ask({ entry: 'second' })), undefined);
});

test('a response ends the backoff of the endpoint', () => {
  const service = new VirtualService([createEndpoint('one')]);
  const inFlight = service.ask({ entry: 'reaches' });
  service.run('refused', CONNECT_TIMEOUT_MILLISECONDS, service.ask({ entry: 'cut-off' }));
  service.run('success', 20, inFlight);
  assert.equal(service.grantOf(service.ask({ entry: 'reaches' })).endpoint.id, 'one');
});

test('zone-path-loss: entry daemons that reach all endpoints are served as without the loss', () => {
  const endpoints = Array.from({ length: 20 }, (_, index) => createEndpoint(`e${index}`));
  const isCut = (entry: number, endpoint: string): boolean =>
    entry % 5 === 0 && Number(endpoint.slice(1)) % 9 < 4;
  const service = new VirtualService(endpoints);
  const ends: { at: number; key: string; outcome: 'success' | 'refused' }[] = [];
  const asked: { key: string; entry: number }[] = [];
  for (let step = 0; step < 1700; step += 1) {
    service.now += 7;
    for (const end of ends.splice(0)) {
      if (end.at > service.now) {
        ends.push(end);
      } else {
        const elapsed = end.outcome === 'success' ? SERVICE_MILLISECONDS : 0;
        const { grantId } = service.grantOf(end.key);
        const common = { load: -1, silent: false, rested: 0, announcement: null };
        service.dispatcher.report(grantId, { outcome: end.outcome, elapsed, ...common });
      }
    }
    const entry = step % 30;
    const key = service.ask({ entry: `entry-${entry}`, idempotent: step % 3 === 0 });
    asked.push({ key, entry });
    service.dispatcher.tick();
    for (const { key: pending, entry: from } of asked.slice(-200)) {
      const decision = service.decisions.get(pending);
      if (decision?.kind === 'grant' && !ends.some((end) => end.key === pending)) {
        const cut = isCut(from, decision.endpoint.id);
        const known = service.dispatcher.hasGrant(decision.grantId);
        if (known) {
          const duration = cut ? CONNECT_TIMEOUT_MILLISECONDS : SERVICE_MILLISECONDS;
          ends.push({
            at: service.now + duration,
            key: pending,
            outcome: cut ? 'refused' : 'success',
          });
        }
      }
    }
  }
  const reaching = asked.filter(({ entry }) => entry % 5 !== 0);
  const delayed = reaching.filter(({ key }) => {
    const decision = service.decisions.get(key);
    return decision?.kind === 'refuse' || (decision?.kind === 'grant' && decision.waited > 0);
  });
  // 143 requests/s of 200 ms need 29 of the 40 slots, so that none has to wait.
  assert.equal(delayed.length, 0);
});

test('the state of paths stays bounded while entry daemons come and go', () => {
  const paths = new EntryPaths();
  for (let index = 0; index < 10_000; index += 1) {
    paths.recordUse(`entry-${index}`, index * 200);
  }
  assert.ok(paths.size <= 65, String(paths.size));
});
