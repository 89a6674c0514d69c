/**
 * The retry budget of a service while its dispatchers end or don't hear each other. Responses are errors, so that each
 * request would be repeated.
 */
import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import * as hashing from '@dogwoodstall/hashing';
import { FailingService } from './failing-service.js';
import { Fleet, type FleetDaemon, findDispatcher, waitUntil } from './fleet.js';

const DAEMONS = 5;
const REQUEST_INTERVAL_MILLISECONDS = 150;
const KILLS = 4;
const KILL_INTERVAL_MILLISECONDS = 2500;
const READY_MILLISECONDS = 8000;
const SETTLE_MILLISECONDS = 2500;
/** Longer than a window of the budget. */
const CALM_MILLISECONDS = 11_000;
const BEFORE_PARTITION_MILLISECONDS = 6000;
const PARTITION_MILLISECONDS = 18_000;
const RESTARTS = 3;
const RESTART_INTERVAL_MILLISECONDS = 3000;

async function startDaemons(fleet: Fleet, count: number): Promise<FleetDaemon[]> {
  const daemons: FleetDaemon[] = [];
  for (let number = 1; number <= count; number += 1) {
    daemons.push(await fleet.start());
  }
  await waitUntil(
    'all daemons are ready',
    () => daemons.every(({ daemon }) => daemon.isReady),
    READY_MILLISECONDS,
  );
  await delay(SETTLE_MILLISECONDS);
  return daemons;
}

/** Runs a test with a failing service and a fleet, and checks the retry budget at its end. */
async function checkBudget(
  play: (fleet: Fleet, service: FailingService) => Promise<void>,
): Promise<string> {
  const fleet = new Fleet();
  fleet.store.configure(1, 'valuation');
  const service = new FailingService();
  try {
    await service.start(fleet);
    await play(fleet, service);
  } finally {
    service.finish();
    fleet.close();
    service.close();
  }
  assert.deepEqual(service.findExcess(), [], service.summary);
  return service.summary;
}

// Guards against a budget that each dispatcher counts from zero.
test('the retry budget holds for the fleet although dispatchers are killed one after the other', async (context) => {
  const summary = await checkBudget(async (fleet, service) => {
    let running = await startDaemons(fleet, DAEMONS);
    const sending = service.sendAll(() => running, REQUEST_INTERVAL_MILLISECONDS);
    for (let kill = 0; kill < KILLS; kill += 1) {
      await delay(KILL_INTERVAL_MILLISECONDS);
      const killed = await findDispatcher(running);
      running = running.filter((daemon) => daemon !== killed);
      killed.daemon.close();
      const restarted = await fleet.restart(killed.host);
      await delay(SETTLE_MILLISECONDS);
      running = [...running, restarted];
    }
    service.finish();
    await sending;
  });
  context.diagnostic(summary);
});

// Guards against a slack that the leading daemon of each part spends in full.
test('the retry budget holds while the fleet is parted in two', async (context) => {
  const summary = await checkBudget(async (fleet, service) => {
    const daemons = await startDaemons(fleet, 4);
    const names = daemons.map((_, index) => `daemon-${index + 1}`);
    const ranked = hashing.rankMembers('valuation', names, (name) => name);
    const partOf = (host: string): number => ranked.indexOf(`daemon-${host.split('.').at(-1)}`) % 2;
    const sending = service.sendAll(() => daemons, REQUEST_INTERVAL_MILLISECONDS);
    await delay(BEFORE_PARTITION_MILLISECONDS);
    const send = dgram.Socket.prototype.send as (...values: unknown[]) => void;
    context.mock.method(
      dgram.Socket.prototype,
      'send',
      function sendWithinPart(this: dgram.Socket, ...values: unknown[]) {
        if (partOf(this.address().address) === partOf(String(values[2]))) {
          send.apply(this, values);
        }
      },
    );
    await delay(PARTITION_MILLISECONDS);
    service.finish();
    await sending;
    context.mock.restoreAll();
  });
  context.diagnostic(summary);
});

// Guards against processes that spend a part of the slack each although their predecessors have spent it.
test('the retry budget holds although all daemons end together several times in a window', async (context) => {
  const summary = await checkBudget(async (fleet, service) => {
    let running = await startDaemons(fleet, 3);
    service.answerWith(200);
    const sending = service.sendAll(() => running, REQUEST_INTERVAL_MILLISECONDS);
    await delay(CALM_MILLISECONDS);
    service.answerWith(500);
    for (let restart = 0; restart < RESTARTS; restart += 1) {
      await delay(RESTART_INTERVAL_MILLISECONDS);
      running.forEach(({ daemon }) => daemon.close());
      running = await Promise.all(running.map(({ host }) => fleet.restart(host)));
    }
    await delay(RESTART_INTERVAL_MILLISECONDS);
    service.finish();
    await sending;
  });
  context.diagnostic(summary);
});
