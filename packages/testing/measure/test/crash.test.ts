import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import * as undici from 'undici';
import * as measure from '../src/index.js';

const POLL_MILLISECONDS = 20;

interface Counters {
  readonly crashes: number;
  readonly requests: number;
}

async function readCounters(fleet: measure.LocalFleet): Promise<Record<string, Counters>> {
  return fleet.backends('shop').control.get('/counters');
}

async function countCrashes(fleet: measure.LocalFleet): Promise<number> {
  const counters = Object.values(await readCounters(fleet));
  return counters.reduce((sum, server) => sum + server.crashes, 0);
}

function readLastDecision(
  daemon: measure.LocalFleet['daemons'][number],
): { requestId?: string; dispatcher?: string } | undefined {
  const line =
    /.*request routed.* requestId="(?<requestId>[^"]+)".* dispatcher="(?<dispatcher>[^"]+)"/s;
  return line.exec(daemon.output)?.groups;
}

// Until membership has converged, each daemon dispatches for itself and counts only its own crashes.
async function waitForCommonDispatcher(
  fleet: measure.LocalFleet,
  send: (address: string) => Promise<string>,
): Promise<void> {
  for (;;) {
    const dispatchers = new Set<string | undefined>();
    for (const daemon of fleet.daemons) {
      const previous = readLastDecision(daemon)?.requestId;
      assert.equal(await send(daemon.callerAddress), '0');
      while (readLastDecision(daemon)?.requestId === previous) {
        await sleep(POLL_MILLISECONDS);
      }
      dispatchers.add(readLastDecision(daemon)?.dispatcher);
    }
    if (dispatchers.size === 1) {
      return;
    }
  }
}

function createTopology(): measure.Topology {
  const route = { methods: ['POST' as const], idempotent: true, pathPrefix: '/' };
  const shared = { serverCount: 5, slots: 2, connectionLimit: 50 };
  return {
    zones: [{ name: 'zone-a', region: 'region-1' }],
    daemonsPerZone: 2,
    services: ['shop', 'other'].map((name) => ({
      ...shared,
      name,
      organisation: `${name}-owner`,
      contract: { retryBudget: 1 },
      routes: [{ ...route, name, host: `${name}.test` }],
    })),
  };
}

test('a request that crashes backend servers is rejected after two crashes, for its organisation only', async () => {
  const fleet = await measure.LocalFleet.start({
    topology: createTopology(),
    seed: 1,
    settings: { log: { format: 'text', decisionShare: 1 } },
  });
  try {
    const send = async (
      organisation: string,
      marker?: string,
      address = fleet.callerAddress,
    ): Promise<string> => {
      const response = await undici.request(`http://${address}/poison?work=1`, {
        method: 'POST',
        headers: {
          host: 'shop.test',
          'dogwoodstall-organisation-token': measure.callerTokenOf(organisation),
          ...(marker === undefined ? {} : { 'crash-marker': marker }),
        },
        body: 'poison',
        reset: true,
      });
      await response.body.dump();
      return String(response.headers['dogwoodstall-result']);
    };
    await waitForCommonDispatcher(fleet, (address) => send('other-owner', undefined, address));
    const resultCodes: string[] = [];
    for (let resend = 0; resend < 6; resend += 1) {
      resultCodes.push(await send('shop-owner', 'crash'));
    }
    assert.equal(resultCodes.at(-1), '3007', resultCodes.join());
    assert.equal(await countCrashes(fleet), 2);
    assert.equal(await send('shop-owner'), '3007');
    assert.equal(await send('other-owner'), '0');
    const before = await readCounters(fleet);
    const crashed = Object.keys(before).filter((name) => (before[name]?.crashes ?? 0) > 0);
    const served = (now: Record<string, Counters>): boolean =>
      crashed.every((name) => (now[name]?.requests ?? 0) > (before[name]?.requests ?? 0));
    // An ejected server would get no requests for longer than a restarted one that was only marked as lost.
    while (!served(await readCounters(fleet))) {
      assert.equal(await send('other-owner'), '0');
      // Only the last lines of a daemon are kept, and each request adds some.
      await sleep(POLL_MILLISECONDS);
    }
    const log = fleet.daemons.map((daemon) => daemon.output).join('\n');
    const reasons = [...log.matchAll(/endpoint ejected.*"reason":"([a-z-]+)"/g)].map(
      (line) => line[1],
    );
    assert.deepEqual(new Set(reasons), new Set(['lost']));
  } finally {
    await fleet.stop();
  }
});
