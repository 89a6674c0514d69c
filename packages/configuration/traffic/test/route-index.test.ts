import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import * as traffic from '../src/index.js';

function createRoute(changes: Partial<traffic.Route>): traffic.Route {
  return {
    name: 'r',
    host: 'shop.example',
    prefix: '/',
    idempotent: false,
    destinations: [{ service: 's', weight: 1 }],
    timeoutMilliseconds: 1000,
    targetMilliseconds: 400,
    maximumAttempts: 2,
    priority: 1,
    ...changes,
  };
}

test('the longest matching prefix of the host wins, routes of other hosts are ignored', () => {
  const index = new traffic.RouteIndex({
    version: 1,
    routes: [
      createRoute({ name: 'short', prefix: '/a/' }),
      createRoute({ name: 'long', prefix: '/a/b/' }),
      createRoute({ name: 'foreign', host: 'other.example', prefix: '/a/b/c/' }),
    ],
    services: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
  });
  assert.equal(index.find('shop.example', '/a/b/c/d')?.name, 'long');
  assert.equal(index.find('shop.example', '/a/c')?.name, 'short');
  assert.equal(index.find('shop.example', '/b/'), undefined);
  assert.equal(index.find('shop.example', '/a'), undefined);
});

test('each destination gets requests in proportion to its weight, none with weight zero', () => {
  const route = createRoute({
    destinations: [
      { service: 'none', weight: 0 },
      { service: 'most', weight: 90 },
      { service: 'few', weight: 10 },
    ],
  });
  const counts = new Map<string, number>();
  for (let step = 0; step < 1000; step += 1) {
    const service = traffic.chooseDestination(route, step / 1000);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  assert.deepEqual(
    [...counts],
    [
      ['most', 900],
      ['few', 100],
    ],
  );
});

test('a destination is chosen for every fraction, even if all weights are zero', () => {
  const fraction = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });
  fc.assert(
    fc.property(fraction, fc.array(fc.nat(100), { minLength: 1 }), (at, weights) => {
      const destinations = weights.map((weight, index) => ({ service: String(index), weight }));
      const chosen = traffic.chooseDestination(createRoute({ destinations }), at);
      assert.ok(destinations.some(({ service }) => service === chosen));
    }),
  );
});
