/**
 * Runs gateway daemons on loopback addresses, with minimal endpoints and an in-memory store.
 */
import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { WireProtocol } from '@dogwoodstall/gateway';
import { createSilentLog } from '@dogwoodstall/observability';
import * as standIns from '@dogwoodstall/stand-ins';
import { noAnnouncement } from '@dogwoodstall/traffic';
import * as undici from 'undici';
import * as gatewayDaemon from '../src/index.js';
import { MemorySource } from './memory-source.js';
import { MemoryStore } from './memory-store.js';

/** Wire protocol of the tests. */
const protocol: WireProtocol = {
  ownedRequestHeaders: new Set(['request-id']),
  organisationHeaders: new Set(['token', 'organisation']),
  requestIdHeader: 'request-id',
  retryAfterHeader: 'Retry-After',
  readinessPath: '/ready',
  readDeadline: () => 2000,
  readToken: ({ token }) => (token?.length === 1 ? token[0] : undefined),
  listAttemptHeaders: ({ requestId }) => ['Request-Id', requestId ?? ''],
  classifyResponse: () => ({ kind: 'answer' }),
  readLoad: () => undefined,
  readAnnouncement: () => noAnnouncement,
  listUnreadableAnnouncements: () => [],
  formatRetryAfter: String,
};

/** Port on which the daemons accept requests of callers. */
export const CALLER_PORT = 18_080;
const READINESS_PORT = 18_081;
/** Port of the state server. */
export const PEER_PORT = 18_082;
const DATAGRAM_PORT = 18_083;
/** Port of the metrics server. */
export const METRICS_PORT = 18_084;

/** A daemon with its connection to the store. */
export interface FleetDaemon {
  readonly host: string;
  readonly source: MemorySource;
  readonly daemon: gatewayDaemon.GatewayDaemon;
}

/** The daemons of one test, on a loopback network of their own. */
export class Fleet {
  readonly store = new MemoryStore();

  readonly daemons: FleetDaemon[] = [];

  private readonly network = standIns.LoopbackNetwork.claim();

  /** Starts a daemon; `unavailable` makes the store reject its calls from the start. */
  async start(
    seeds: readonly string[] = [],
    unavailable = false,
    graceSeconds = 3,
  ): Promise<FleetDaemon> {
    return this.run(this.daemons.length + 1, seeds, unavailable, graceSeconds);
  }

  /** Starts a daemon again that was closed, under its name and host. */
  restart(host: string): Promise<FleetDaemon> {
    return this.run(Number(host.split('.').at(-1)), [], false, 3);
  }

  private async run(
    number: number,
    seeds: readonly string[],
    unavailable: boolean,
    graceSeconds: number,
  ): Promise<FleetDaemon> {
    const host = (await this.network).getHost(number);
    const source = new MemorySource(this.store);
    source.unavailable = unavailable;
    const daemon = new gatewayDaemon.GatewayDaemon({
      settings: gatewayDaemon.gatewaySettingsSchema.parse({
        name: `daemon-${number}`,
        zone: 'a',
        seeds: seeds.map((seed) => `${seed}:${PEER_PORT}`),
        listen: {
          caller: `${host}:${CALLER_PORT}`,
          readiness: `${host}:${READINESS_PORT}`,
          peer: `${host}:${PEER_PORT}`,
          datagramPort: DATAGRAM_PORT,
          metricsPort: METRICS_PORT,
        },
        store: { address: '127.0.0.1:1' },
        retries: { ratio: 0.2, slack: 20, windowSeconds: 10 },
        usage: { windowSeconds: 5, overage: 0.1, slack: 20 },
        stop: { graceSeconds },
        limits: { memoryMegabytes: 100 },
      }),
      protocol,
      source,
      log: createSilentLog(),
      descriptorLimit: Infinity,
    });
    await daemon.start();
    const started = { host, source, daemon };
    this.daemons.push(started);
    return started;
  }

  close(): void {
    for (const { daemon } of this.daemons) {
      daemon.close();
    }
  }
}

/** Sends one request to a daemon; resolves to status and body, or undefined without a response. */
export function sendRequest(
  host: string,
  id = 'r1',
  path = '/1',
): Promise<{ readonly status: number; readonly body: string } | undefined> {
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port: CALLER_PORT,
      path,
      agent: false,
      headers: { Host: 'shop.example', 'Request-Id': id },
    });
    request.on('error', () => resolve(undefined));
    request.on('response', (response) => {
      let body = '';
      response.on('data', (chunk) => {
        body += String(chunk);
      });
      response.on('error', () => resolve(undefined));
      response.on('end', () => resolve({ status: response.statusCode ?? 0, body }));
    });
    request.end();
  });
}

/** Waits until a condition holds; throws when it does not hold in time. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  milliseconds: number,
): Promise<void> {
  const deadline = performance.now() + milliseconds;
  while (!(await condition())) {
    if (performance.now() > deadline) {
      throw new Error(`${description}: not within ${milliseconds} ms`);
    }
    await delay(20);
  }
}

/** Returns how many slot requests a daemon has granted so far. */
async function countGrants({ host }: FleetDaemon): Promise<number> {
  const { body } = await undici.request(`http://${host}:${METRICS_PORT}/metrics`);
  const pattern = /dogwoodstall_slot_decisions_total\{.*decision="grant"\} (\d+)/g;
  const counts = [...(await body.text()).matchAll(pattern)].map(([, count]) => Number(count));
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Returns the daemon that granted most slots in a short time. */
export async function findDispatcher(daemons: readonly FleetDaemon[]): Promise<FleetDaemon> {
  const before = await Promise.all(daemons.map(countGrants));
  await delay(500);
  const after = await Promise.all(daemons.map(countGrants));
  const growth = after.map((count, index) => count - (before[index] as number));
  return daemons[growth.indexOf(Math.max(...growth))] as FleetDaemon;
}
