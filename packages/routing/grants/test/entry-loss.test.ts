/**
 * Pattern `path-loss`: some entry daemons reach no endpoint of a cell, while the others do.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualService, createEndpoint } from './fixture.js';
import { SteadyLoad, nameEntry } from './steady-load.js';

const endpoints = Array.from({ length: 25 }, (_, index) => createEndpoint(`e${index}`));

test('path-loss: daemons that reach no endpoint do not get the endpoints taken for failing', () => {
  const service = new VirtualService(endpoints);
  const load = new SteadyLoad(service);
  load.run(3000, () => null);
  for (let index = 0; index < 7; index += 1) {
    load.entriesWithoutPath.add(nameEntry(index));
  }
  const { granted, refusedWithPath } = load.run(2000, () => null);
  assert.ok(granted > 200);
  assert.ok(refusedWithPath <= 2, `${refusedWithPath} requests of the other daemons are refused`);
  assert.ok(service.dispatcher.listSuspects().length <= 2);
});

test('path-loss: an endpoint that is silent to several daemons is suspected although each has two late requests', () => {
  const service = new VirtualService(endpoints.slice(0, 8));
  for (let count = 0; count < 40; count += 1) {
    service.run('success', 100);
  }
  const granted = Array.from({ length: 16 }, (_, index) =>
    service.grantOf(service.ask({ entry: nameEntry(index % 8), remaining: 5000 })),
  );
  const used = new Set(granted.map(({ endpoint }) => endpoint.id));
  service.now += 400;
  const suspects = service.dispatcher.listSuspects();
  assert.deepEqual(
    [...used].filter((id) => !suspects.includes(id)),
    [],
  );
});
