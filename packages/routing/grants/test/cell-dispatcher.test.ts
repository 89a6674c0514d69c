import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualService, createEndpoint } from './fixture.js';

test('non-idempotent requests avoid an endpoint that has not responded to an earlier request', () => {
  const service = new VirtualService([createEndpoint('one'), createEndpoint('other')]);
  service.run('success', 90);
  service.run('success', 90);
  const hanging = service.grantOf(service.ask());
  service.now += 300;
  for (let count = 0; count < 10; count += 1) {
    assert.notEqual(service.run('success', 20).endpoint.id, hanging.endpoint.id);
  }
});

test('an endpoint is never granted more requests than it has slots', () => {
  const service = new VirtualService([createEndpoint('one'), createEndpoint('other')]);
  const keys = [1, 2, 3, 4, 5].map(() => service.ask());
  const granted = keys.filter((key) => service.decisions.get(key)?.kind === 'grant');
  assert.equal(granted.length, 4);
  service.dispatcher.report(service.grantOf(granted[0] as string).grantId, {
    outcome: 'success',
    elapsed: 50,
    load: -1,
    silent: false,
    rested: 0,
    announcement: null,
  });
  assert.equal(service.decisions.get(keys[4] as string)?.kind, 'grant');
});

test('a draining endpoint is granted neither to new nor to queued requests', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  const first = service.ask();
  const waiting = service.ask();
  service.dispatcher.updateEndpoints([
    createEndpoint('one', { slots: 1, draining: true }),
    createEndpoint('other'),
  ]);
  assert.equal(service.grantOf(first).endpoint.id, 'one');
  assert.equal(service.grantOf(waiting).endpoint.id, 'other');
  assert.equal(service.run('success', 10).endpoint.id, 'other');
});

test('a request that can not be served in time is refused immediately with a retry delay', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  const keys = [];
  for (let count = 0; count < 20; count += 1) {
    keys.push(service.ask());
  }
  const last = service.decisions.get(keys.at(-1) as string);
  assert.ok(last?.kind === 'refuse' && last.reason === 'overload' && last.retryAfter > 0);
});

test('a queued request is refused after half of its target latency', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  service.ask();
  const waiting = service.ask();
  service.now += 190;
  service.dispatcher.tick();
  assert.equal(service.decisions.get(waiting), undefined);
  service.now += 30;
  service.dispatcher.tick();
  assert.equal(service.decisions.get(waiting)?.kind, 'refuse');
});

test('a more urgent request is served before queued ones', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  const first = service.ask();
  const later = service.ask({ priority: 2 });
  const urgent = service.ask({ priority: 0 });
  service.run('success', 20, first);
  assert.equal(service.decisions.get(urgent)?.kind, 'grant');
  assert.equal(service.decisions.get(later), undefined);
});

// Guards against deployments without organisations that are served in another order than before.
test('without organisations waiting requests are served in order of arrival, whatever their targets are', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  const first = service.ask();
  const patient = service.ask({ target: 800, remaining: 3000 });
  service.now += 5;
  const urgent = service.ask({ target: 400, remaining: 3000 });
  service.run('success', 20, first);
  assert.equal(service.decisions.get(patient)?.kind, 'grant');
  assert.equal(service.decisions.get(urgent), undefined);
});

test('a request that crashed three endpoints is refused, other requests are not', () => {
  const endpoints = ['one', 'two', 'three', 'four'].map((id) => createEndpoint(id));
  const service = new VirtualService(endpoints);
  for (const { id, lifetime } of endpoints.slice(0, 3)) {
    const seen = { source: 'entry-1', silent: true, rested: 0, isReachable: undefined };
    const reset = { fingerprint: 'poison', endpoint: id, lifetime, ...seen };
    service.crashRecords.add(reset, service.now);
  }
  const refused = service.decisions.get(service.ask({ fingerprint: 'poison' }));
  assert.ok(refused?.kind === 'refuse' && refused.reason === 'crashing');
  assert.equal(service.decisions.get(service.ask({ fingerprint: 'other' }))?.kind, 'grant');
});

test('idempotent requests probe an endpoint that has not been used recently', () => {
  const service = new VirtualService([createEndpoint('one'), createEndpoint('other')]);
  for (let count = 0; count < 12; count += 1) {
    service.run('success', 90);
  }
  const used = new Set<string>();
  service.now += 1000;
  for (let count = 0; count < 2; count += 1) {
    used.add(service.grantOf(service.ask({ idempotent: true })).endpoint.id);
  }
  assert.equal(used.size, 2);
});

// Guards against probes whose failures can't be repeated.
test('requests of an entry that has used up its retry budget do not probe', () => {
  const service = new VirtualService([createEndpoint('one'), createEndpoint('other')]);
  for (let count = 0; count < 12; count += 1) {
    service.run('success', 90);
  }
  service.now += 1000;
  const used = new Set<string>();
  for (let count = 0; count < 2; count += 1) {
    used.add(
      service.run('success', 1, service.ask({ idempotent: true, mayProbe: false })).endpoint.id,
    );
  }
  assert.equal(used.size, 1);
});

test('a restarted endpoint with the same id does not inherit the attempts of its predecessor', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  service.ask();
  const waiting = service.ask();
  service.dispatcher.updateEndpoints([createEndpoint('one', { slots: 1, lifetime: 2 })]);
  assert.equal(service.grantOf(waiting).endpoint.lifetime, 2);
});

test('a grant whose report is lost releases its slot after the deadline', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  service.ask({ remaining: 500 });
  service.now += 1000;
  service.dispatcher.tick();
  assert.equal(service.decisions.get(service.ask())?.kind, 'grant');
});

test('a request is refused immediately if all endpoints are draining', () => {
  const service = new VirtualService([createEndpoint('one', { draining: true })]);
  const decision = service.decisions.get(service.ask());
  assert.ok(decision?.kind === 'refuse' && decision.reason === 'no-endpoint');
});

test('a large body is sent to another zone only if the endpoints of its own are probably failing', () => {
  const service = new VirtualService([
    createEndpoint('near', { slots: 8 }),
    createEndpoint('other', { zone: 'b', slots: 8 }),
  ]);
  const upload = { kilobytes: 60, route: 'uploads' };
  service.run('success', 100, service.ask({ excluded: new Set(['other']) }));
  for (let count = 0; count < 5; count += 1) {
    const far = service.ask({ excluded: new Set(['near']) });
    service.run('success', 100, far);
  }
  assert.equal(service.run('success', 100, service.ask(upload)).endpoint.id, 'near');
  const near = service.ask({ excluded: new Set(['other']) });
  service.run('reset', 10, near);
  assert.equal(service.grantOf(service.ask(upload)).endpoint.id, 'other');
});

test('endpoints that drop idle connections are not suspects; their connections are reused for a shorter time', () => {
  const ids = ['one', 'other', 'third'];
  const service = new VirtualService(ids.map((id) => createEndpoint(id)));
  const resetIds = new Set<string>();
  while (resetIds.size < 2) {
    const { grantId, endpoint } = service.grantOf(service.ask());
    resetIds.add(endpoint.id);
    service.dispatcher.report(grantId, {
      outcome: 'reset',
      elapsed: 3,
      load: -1,
      silent: true,
      rested: 900,
      announcement: null,
    });
  }
  const granted = service.grantOf(service.ask());
  assert.ok(granted.reuseWithin < 900);
  assert.deepEqual(service.dispatcher.listSuspects(), []);
});

test('crest: a request that has waited in other cells is refused without waiting for its whole time again', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  service.ask();
  const moved = service.ask({ waitedElsewhere: 150 });
  service.now += 60;
  service.dispatcher.tick();
  assert.equal(service.decisions.get(moved)?.kind, 'refuse');
  const exhausted = service.ask({ waitedElsewhere: 220 });
  assert.equal(service.decisions.get(exhausted)?.kind, 'refuse', 'refused at once');
});

test('crest: a request that has waited in other cells still gets a free slot', () => {
  const service = new VirtualService([createEndpoint('one')]);
  const moved = service.ask({ waitedElsewhere: 200, idempotent: true });
  assert.equal(service.grantOf(moved).endpoint.id, 'one');
});

// Guards against hedges that delay requests without an attempt.
test('crest: a request with a maximum load is granted a free slot, and refused at once above it or beside waiting ones', () => {
  const service = new VirtualService([createEndpoint('i-1'), createEndpoint('i-2')]);
  const hedge = { idempotent: true, repeated: true, maximumLoad: 0.5 };
  assert.equal(service.decisions.get(service.ask(hedge))?.kind, 'grant');
  assert.equal(service.decisions.get(service.ask())?.kind, 'grant');
  assert.equal(service.decisions.get(service.ask(hedge))?.kind, 'grant', 'at the maximum');
  const above = service.decisions.get(service.ask(hedge));
  assert.deepEqual(above, { kind: 'refuse', reason: 'overload', retryAfter: 0, inExcess: false });
  service.ask();
  const waiting = service.ask();
  assert.equal(service.decisions.get(waiting), undefined);
  const beside = service.ask({ ...hedge, maximumLoad: 1 });
  assert.equal(service.decisions.get(beside)?.kind, 'refuse');
  assert.equal(service.decisions.get(waiting), undefined, 'still waits');
});
