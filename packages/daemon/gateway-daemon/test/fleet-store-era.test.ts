/**
 * A fleet whose store comes back with a copy some seconds old. Only some of the daemons read the store.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { CountingEndpoint } from './counting-endpoint.js';
import { Fleet, sendRequest, waitUntil } from './fleet.js';

const READY_MILLISECONDS = 8000;
/** A daemon that has just started does not dispatch for others yet. */
const SETTLED_MILLISECONDS = 2500;
const AWAY_MILLISECONDS = 1000;
/** Time that endpoints take to write again what was lost. */
const WRITTEN_AGAIN_MILLISECONDS = 1500;
const DRAIN_MILLISECONDS = 2000;

async function sendAll(fleet: Fleet): Promise<void> {
  for (const { host } of fleet.daemons) {
    assert.equal((await sendRequest(host))?.status, 200);
  }
}

/** Returns the requests that an endpoint gets while all daemons are called for a while. */
async function countRequests(
  fleet: Fleet,
  endpoint: CountingEndpoint,
  milliseconds: number,
): Promise<number> {
  const before = endpoint.requests;
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    await sendAll(fleet);
  }
  return endpoint.requests - before;
}

// Guards against requests to endpoints that have left, from daemons that ignore the lower revisions of the store.
test('endpoints that left before and after the store lost changes get no requests', async () => {
  const fleet = new Fleet();
  const endpoints = await Promise.all(
    ['one', 'two', 'three'].map((id) => new CountingEndpoint(id).listen()),
  );
  const [one, two] = endpoints as [CountingEndpoint, CountingEndpoint];
  for (const endpoint of endpoints) {
    fleet.store.put(endpoint.describe());
  }
  fleet.store.configure(1, 'valuation');
  try {
    for (let count = 0; count < 4; count += 1) {
      await fleet.start();
    }
    await waitUntil(
      'all daemons are ready',
      () => fleet.daemons.every(({ daemon }) => daemon.isReady),
      READY_MILLISECONDS,
    );
    await delay(SETTLED_MILLISECONDS);
    const restore = fleet.store.copy();
    // Further changes, so that the revisions do not pass the known one soon.
    for (let slots = 4; slots < 64; slots += 1) {
      fleet.store.put((endpoints[2] as CountingEndpoint).describe({ slots }));
    }
    fleet.store.put(one.describe({ draining: true }));
    await delay(DRAIN_MILLISECONDS);
    for (const { source } of fleet.daemons) {
      source.unavailable = true;
    }
    await delay(AWAY_MILLISECONDS);
    restore();
    fleet.store.members.clear();
    for (const { source } of fleet.daemons) {
      source.unavailable = false;
    }
    assert.equal(await countRequests(fleet, one, WRITTEN_AGAIN_MILLISECONDS), 0);
    fleet.store.put(one.describe({ draining: true }));
    fleet.store.put(two.describe({ draining: true }));
    assert.equal(await countRequests(fleet, one, DRAIN_MILLISECONDS), 0);
    assert.equal(await countRequests(fleet, two, DRAIN_MILLISECONDS), 0);
    assert.equal(fleet.store.members.size, fleet.daemons.length, 'all daemons registered again');
  } finally {
    fleet.close();
    for (const endpoint of endpoints) {
      endpoint.close();
    }
  }
});
