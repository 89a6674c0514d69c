/**
 * The retry budget of a service while its dispatchers are killed one after the other. Every response is an error, so
 * that each request would be repeated.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Fleet, type FleetDaemon, findDispatcher, sendRequest, waitUntil } from './fleet.js';

const NETWORK = 97;
const DAEMONS = 5;
const ENDPOINTS = 6;
/** Of the settings of the fleet. */
const RATIO = 0.2;
const SLACK = 20;
const WINDOW_MILLISECONDS = 10_000;
const WINDOW_STEP_MILLISECONDS = 500;
const REQUEST_INTERVAL_MILLISECONDS = 150;
const KILLS = 4;
const KILL_INTERVAL_MILLISECONDS = 2500;
const READY_MILLISECONDS = 8000;
const SETTLE_MILLISECONDS = 2500;

interface Arrival {
  readonly requestId: string;
  readonly at: number;
}

async function startFailingEndpoints(fleet: Fleet, arrivals: Arrival[]): Promise<http.Server[]> {
  const servers: http.Server[] = [];
  for (let index = 0; index < ENDPOINTS; index += 1) {
    const server = http.createServer((request, response) => {
      arrivals.push({ requestId: String(request.headers['request-id']), at: performance.now() });
      response.writeHead(500).end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    fleet.store.put({
      id: `endpoint-${index}`,
      service: 'valuation',
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      zone: 'a',
      slots: 8,
      draining: false,
      warmUpMilliseconds: 0,
      lifetime: 1,
    });
    servers.push(server);
  }
  return servers;
}

/** Returns the largest excess of repeats over the budget in any window, with its time. */
function findExcess(sentAt: readonly number[], arrivals: readonly Arrival[]): string[] {
  const seen = new Set<string>();
  const repeats: number[] = [];
  for (const { requestId, at } of arrivals) {
    if (seen.has(requestId)) {
      repeats.push(at);
    }
    seen.add(requestId);
  }
  const countIn = (times: readonly number[], from: number): number =>
    times.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length;
  const violations: string[] = [];
  const begin = sentAt[0] ?? 0;
  for (let from = begin; from < (sentAt.at(-1) ?? 0); from += WINDOW_STEP_MILLISECONDS) {
    const windows = [from, from - WINDOW_MILLISECONDS, from - WINDOW_MILLISECONDS / 2];
    const requests = Math.max(...windows.map((start) => countIn(sentAt, start)));
    const allowed = RATIO * requests + SLACK;
    const repeated = countIn(repeats, from);
    if (repeated > allowed) {
      violations.push(`${repeated} repeats, ${allowed} allowed, ${Math.round(from - begin)} ms`);
    }
  }
  return violations;
}

// Guards against a budget that each dispatcher counts from zero.
test('the retry budget holds for the fleet although dispatchers are killed one after the other', async (context) => {
  const fleet = new Fleet(NETWORK);
  fleet.store.configure(1, 'valuation');
  const arrivals: Arrival[] = [];
  const servers = await startFailingEndpoints(fleet, arrivals);
  const sentAt: number[] = [];
  let running: FleetDaemon[] = [];
  let stopped = false;
  const sendAll = async (): Promise<void> => {
    const sent: Promise<unknown>[] = [];
    for (let count = 0; !stopped; count += 1) {
      const { host } = running[count % running.length] as FleetDaemon;
      sentAt.push(performance.now());
      sent.push(sendRequest(host, `request-${count}`));
      await delay(REQUEST_INTERVAL_MILLISECONDS);
    }
    await Promise.all(sent);
  };
  try {
    for (let count = 0; count < DAEMONS; count += 1) {
      running.push(await fleet.start());
    }
    await waitUntil(
      'all daemons are ready',
      () => running.every(({ daemon }) => daemon.isReady),
      READY_MILLISECONDS,
    );
    await delay(SETTLE_MILLISECONDS);
    const sending = sendAll();
    for (let kill = 0; kill < KILLS; kill += 1) {
      await delay(KILL_INTERVAL_MILLISECONDS);
      const killed = await findDispatcher(running);
      running = running.filter((daemon) => daemon !== killed);
      killed.daemon.close();
      const restarted = await fleet.restart(killed.host);
      await delay(SETTLE_MILLISECONDS);
      running = [...running, restarted];
    }
    stopped = true;
    await sending;
  } finally {
    fleet.close();
    servers.forEach((server) => server.close());
  }
  context.diagnostic(`${sentAt.length} requests, ${arrivals.length} arrivals`);
  assert.deepEqual(findExcess(sentAt, arrivals), []);
});
