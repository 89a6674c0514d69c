/**
 * Suspends the daemon that reads the endpoints from the store for five seconds, in each of some rounds, while endpoints
 * are replaced.
 */
import * as path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { runCase } from '../stand-ins/deployment.mjs';

const DAEMONS = 10;
const ENDPOINTS = 16;
const REQUESTS_PER_SECOND = 80;
const ROUNDS = 5;
const REPLACED_IN_ROUND = 3;
const REPLACE_MILLISECONDS = 800;
const FREEZE_MILLISECONDS = 5000;
const CALM_MILLISECONDS = 4000;
const SERVE_MILLISECONDS = 9000;

async function play(deployment, trouble) {
  for (let count = 0; count < ENDPOINTS; count += 1) {
    await deployment.addEndpoint({ service: 'photos' });
  }
  const routes = [
    { name: 'view', prefix: '/photos/', kind: 'safe', service: 'photos' },
    { name: 'add', prefix: '/photos/new/', kind: 'unsafe', service: 'photos' },
  ];
  deployment.writeConfiguration(7, routes, ['photos']);
  await deployment.startDaemons(DAEMONS);
  deployment.startTraffic(REQUESTS_PER_SECOND, () =>
    Math.random() < 0.5
      ? { method: 'GET', path: `/photos/${Math.random()}` }
      : { path: `/photos/new/${Math.random()}` },
  );
  await delay(3000);
  const [reader, dispatcher] = await Promise.all([
    deployment.findReader(),
    deployment.findDispatcher(),
  ]);
  deployment.record(`${dispatcher.name} dispatches most requests`);
  deployment.record(`${reader.name} reads the endpoints most often`);
  for (let round = 0; round < ROUNDS; round += 1) {
    if (trouble) {
      deployment.record(`${reader.name} is suspended`);
      reader.signal('SIGSTOP');
    }
    for (let count = 0; count < REPLACED_IN_ROUND; count += 1) {
      await delay(REPLACE_MILLISECONDS);
      await deployment.replaceEndpoint('photos', {
        reports: false,
        serveMilliseconds: SERVE_MILLISECONDS,
      });
    }
    await delay(FREEZE_MILLISECONDS - REPLACED_IN_ROUND * REPLACE_MILLISECONDS);
    if (trouble) {
      deployment.record(`${reader.name} goes on`);
      reader.signal('SIGCONT');
    }
    await delay(CALM_MILLISECONDS);
  }
  deployment.stopTraffic();
  await delay(2000);
  return deployment.describeLateArrivals();
}

await runCase(path.join(import.meta.dirname, 'record.txt'), play);
