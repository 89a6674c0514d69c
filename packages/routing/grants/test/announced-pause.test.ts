/**
 * Pattern `announced-pause`: an endpoint rejects all requests and asks each daemon that sends one to wait.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualService, createEndpoint } from './fixture.js';
import { nameEntry } from './steady-load.js';

const PAUSE_MILLISECONDS = 2000;
const STEP_MILLISECONDS = 7;
const WORK_MILLISECONDS = 100;
const SECONDS = 20;
const endpoints = Array.from({ length: 10 }, (_, index) => createEndpoint(`e${index}`));
const pause = {
  requestsPerSecond: null,
  leaving: false,
  pauseMilliseconds: PAUSE_MILLISECONDS,
};

/** Sends 143 requests/s of 20 daemons; returns how many the endpoint rejects and serves. */
function countRejected(isPaused: (entry: string) => boolean): { rejected: number; served: number } {
  const service = new VirtualService(endpoints);
  const running: { readonly endsAt: number; readonly grantId: number }[] = [];
  const paused = endpoints[0]?.id;
  let rejected = 0;
  let served = 0;
  for (let step = 0; step < (SECONDS * 1000) / STEP_MILLISECONDS; step += 1) {
    service.now += STEP_MILLISECONDS;
    while ((running[0]?.endsAt ?? Infinity) <= service.now) {
      const { grantId } = running.shift() as { grantId: number };
      service.dispatcher.report(grantId, {
        outcome: 'success',
        elapsed: WORK_MILLISECONDS,
        load: -1,
        silent: false,
        rested: 0,
        announcement: null,
      });
    }
    const entry = nameEntry(step);
    const decision = service.decisions.get(service.ask({ entry, idempotent: step % 3 === 0 }));
    if (decision?.kind === 'grant') {
      const { grantId, endpoint } = decision;
      if (endpoint.id === paused && isPaused(entry)) {
        rejected += 1;
        service.dispatcher.report(grantId, {
          outcome: 'shed',
          elapsed: 3,
          load: -1,
          silent: false,
          rested: 0,
          announcement: pause,
        });
      } else {
        served += endpoint.id === paused ? 1 : 0;
        running.push({ endsAt: service.now + WORK_MILLISECONDS, grantId });
      }
    }
  }
  return { rejected, served };
}

test('announced-pause: an endpoint that rejects all requests is seldom tried by daemons that were not told', () => {
  const { rejected } = countRejected(() => true);
  const pauses = (SECONDS * 1000) / PAUSE_MILLISECONDS;
  assert.ok(rejected <= 4 * pauses, `${rejected} requests are rejected in 20 s`);
});

test('announced-pause: an endpoint that has told two daemons to wait serves the others', () => {
  const { rejected, served } = countRejected(
    (entry) => entry === nameEntry(1) || entry === nameEntry(2),
  );
  assert.ok(rejected <= (2 * SECONDS * 1000) / PAUSE_MILLISECONDS + 2, `${rejected} are rejected`);
  assert.ok(served > 200, `${served} are served`);
});
