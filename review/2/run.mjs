/**
 * Suspends the daemon that dispatches a service for five seconds, in each of some rounds, while endpoints are replaced.
 */
import * as path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { runCase } from '../stand-ins/deployment.mjs';

const DAEMONS = 10;
const ENDPOINTS = 12;
const REQUESTS_PER_SECOND = 120;
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
  const [dispatcher, reader] = await Promise.all([
    deployment.findDispatcher(),
    deployment.findReader(),
  ]);
  deployment.record(`${reader.name} reads the endpoints most often`);
  deployment.record(`${dispatcher.name} dispatches most requests`);
  for (let round = 0; round < ROUNDS; round += 1) {
    if (trouble) {
      deployment.record(`${dispatcher.name} is suspended`);
      dispatcher.signal('SIGSTOP');
    }
    for (let count = 0; count < REPLACED_IN_ROUND; count += 1) {
      await delay(REPLACE_MILLISECONDS);
      await deployment.replaceEndpoint('photos', {
        reports: true,
        serveMilliseconds: SERVE_MILLISECONDS,
      });
    }
    await delay(FREEZE_MILLISECONDS - REPLACED_IN_ROUND * REPLACE_MILLISECONDS);
    if (trouble) {
      deployment.record(`${dispatcher.name} goes on`);
      dispatcher.signal('SIGCONT');
    }
    await delay(CALM_MILLISECONDS);
  }
  deployment.stopTraffic();
  await delay(2000);
  return deployment.describeLateArrivals();
}

await runCase(path.join(import.meta.dirname, 'record.txt'), play);
