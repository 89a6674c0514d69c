/**
 * A request that crashes each endpoint that runs it comes again and again, while all daemons are killed at the same
 * moment and started again.
 */
import * as path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { bounds, runCase } from '../stand-ins/deployment.mjs';

const DAEMONS = 10;
const ENDPOINTS = 12;
const REQUESTS_PER_SECOND = 60;
const CRASHING_PATH = '/photos/crash';
const COMES_AGAIN_MILLISECONDS = 1500;
const CALM_MILLISECONDS = 12_000;
const KILLS = 2;
/** Time until the daemons are in touch again. */
const RETURN_MILLISECONDS = 5000;
const CRASHES_BEFORE = 3;
const MAXIMUM_RETRIES = 3;

/** Sends the request again and again for some time; returns what was sent. */
async function sendCrashing(deployment, milliseconds) {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt) {
    await Promise.all([
      deployment.request({ path: CRASHING_PATH, body: 'crash' }),
      delay(COMES_AGAIN_MILLISECONDS),
    ]);
  }
}

async function play(deployment, trouble) {
  const crashes = [];
  for (let count = 0; count < ENDPOINTS; count += 1) {
    const endpoint = await deployment.addEndpoint({
      service: 'photos',
      crashingPath: CRASHING_PATH,
    });
    endpoint.onCrash = (requestId) => {
      const at = performance.now();
      const { daemon } = deployment.sent.get(requestId);
      crashes.push({ at, inTouch: deployment.wasInTouch(daemon, at) });
    };
  }
  const route = { name: 'photos', prefix: '/photos/', kind: 'unsafe', service: 'photos' };
  deployment.writeConfiguration(7, [route], ['photos']);
  await deployment.startDaemons(DAEMONS);
  deployment.startTraffic(REQUESTS_PER_SECOND, () => ({ path: `/photos/${Math.random()}` }));
  await delay(4000);
  await sendCrashing(deployment, CALM_MILLISECONDS);
  for (let count = 0; count < KILLS; count += 1) {
    if (trouble) {
      deployment.record('all daemons are killed and start again');
      await Promise.all(deployment.daemons.map((daemon) => daemon.restart()));
    }
    await delay(RETURN_MILLISECONDS);
    await sendCrashing(deployment, CALM_MILLISECONDS);
  }
  deployment.stopTraffic();
  await delay(2000);
  if (crashes.length < CRASHES_BEFORE) {
    throw new Error('the request did not crash three endpoints');
  }
  const since = crashes[CRASHES_BEFORE - 1].at + bounds.stability_window_ms;
  const retries = crashes.filter(({ at, inTouch }) => at > since && inTouch);
  deployment.record(`${crashes.length} endpoints crashed, ${retries.length} of them in retries`);
  return retries.length > MAXIMUM_RETRIES
    ? [
        `BUDGET: ${retries.length} retries reached endpoints later than 3 s after the third crash; ${crashes.length} endpoints crashed in all`,
      ]
    : [];
}

await runCase(path.join(import.meta.dirname, 'record.txt'), play);
