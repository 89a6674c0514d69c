/**
 * Limits of hedging that change while a daemon runs.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import * as undici from 'undici';
import { gatewaySettingsSchema } from '../src/index.js';
import { Fleet, METRICS_PORT, sendRequest, waitUntil } from './fleet.js';

const LATE_MILLISECONDS = 1000;
const ENDPOINTS = 3;
/** Enough for some retries in the first window of a process. */
const QUICK_REQUESTS = 60;

/** Starts endpoints that answer at once, except the first attempt of each request whose id begins with "late". */
async function startEndpoints(fleet: Fleet): Promise<http.Server[]> {
  const known = new Set<string>();
  const servers: http.Server[] = [];
  for (let index = 0; index < ENDPOINTS; index += 1) {
    const server = http.createServer((request, response) => {
      const id = String(request.headers['request-id']);
      const isLate = id.startsWith('late') && !known.has(id);
      known.add(id);
      setTimeout(() => response.end('well'), isLate ? LATE_MILLISECONDS : 0);
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

async function measure(host: string, id: string): Promise<number> {
  const startedAt = performance.now();
  assert.equal((await sendRequest(host, id))?.status, 200);
  return performance.now() - startedAt;
}

test('a changed share of hedges is in force without a restart, and hedges are counted by event', async () => {
  const fleet = new Fleet();
  fleet.store.configure(1, 'valuation');
  const servers = await startEndpoints(fleet);
  try {
    const { daemon, host } = await fleet.start();
    await waitUntil('the daemon is ready', () => daemon.isReady, 8000);
    const applyHedging = (share: number): void =>
      daemon.applySettings(
        gatewaySettingsSchema.parse({
          name: 'daemon-1',
          zone: 'a',
          listen: {
            caller: `${host}:1`,
            readiness: `${host}:2`,
            peer: `${host}:3`,
            datagramPort: 4,
          },
          store: { address: '127.0.0.1:1' },
          retries: { ratio: 0.2, slack: 20, windowSeconds: 10 },
          hedging: { share, reserve: 0 },
        }),
      );
    applyHedging(0);
    for (let count = 0; count < QUICK_REQUESTS; count += 1) {
      await measure(host, `quick-${count}`);
    }
    assert.ok((await measure(host, 'late-1')) >= LATE_MILLISECONDS * 0.9);
    applyHedging(0.2);
    assert.ok((await measure(host, 'late-2')) < LATE_MILLISECONDS * 0.9);
    const { body } = await undici.request(`http://${host}:${METRICS_PORT}/metrics`);
    const metrics = await body.text();
    assert.match(metrics, /dogwoodstall_hedges_total\{service="valuation",event="refused-share"\}/);
    assert.match(metrics, /dogwoodstall_hedges_total\{service="valuation",event="won"\}/);
  } finally {
    fleet.close();
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
  }
});
