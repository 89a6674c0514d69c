import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { SilentAddress } from '@dogwoodstall/stand-ins';
import * as undici from 'undici';
import { MemberTable, STORE_WATCHER_ROLE } from '../src/member.js';
import { CountingEndpoint } from './counting-endpoint.js';
import { Fleet, type FleetDaemon, METRICS_PORT, PEER_PORT, waitUntil } from './fleet.js';

const DAEMONS = 7;
const READY_MILLISECONDS = 8000;
/** Time limit of the platform for applying a configuration. */
const CONFIGURATION_MILLISECONDS = 2000;
const SETTLE_MILLISECONDS = 1000;

/** Returns the daemons in the order in which they get the first state when all start together. */
function rank(daemons: readonly FleetDaemon[]): FleetDaemon[] {
  const [first, ...others] = daemons.map(({ host }, index) => ({
    name: `daemon-${index + 1}`,
    zone: 'a',
    host,
    datagramPort: 1,
    peerAddress: `${host}:${PEER_PORT}`,
    cores: 1,
    startedAt: 1,
  }));
  assert.ok(first !== undefined);
  const members = new MemberTable(first);
  others.forEach((member) => members.add(member));
  return members
    .rank(STORE_WATCHER_ROLE)
    .map(({ host }) => daemons.find((daemon) => daemon.host === host) as FleetDaemon);
}

async function readVersion({ host }: FleetDaemon): Promise<number> {
  const { body } = await undici.request(`http://${host}:${METRICS_PORT}/metrics`);
  const [, version] = /dogwoodstall_configuration_version (\d+)/.exec(await body.text()) ?? [];
  return Number(version);
}

// Guards against daemons that start, wait for one that is gone, and go on with an old configuration meanwhile.
test('daemons that were restarted after another one was removed for good apply a new configuration in time', async (context) => {
  const fleet = new Fleet();
  const endpoint = await new CountingEndpoint('one').listen();
  fleet.store.put(endpoint.describe());
  fleet.store.configure(1, 'valuation');
  context.after(() => {
    fleet.close();
    endpoint.close();
  });
  for (let count = 0; count < DAEMONS; count += 1) {
    await fleet.start();
  }
  const areReady = (): boolean => fleet.daemons.every(({ daemon }) => daemon.isReady);
  await waitUntil('all daemons are ready', areReady, READY_MILLISECONDS);
  const [removed, ...others] = rank(fleet.daemons);
  assert.ok(removed !== undefined);
  removed.daemon.close();
  const silent = await SilentAddress.open(removed.host, PEER_PORT);
  context.after(() => silent.close());
  const restarted: FleetDaemon[] = [];
  // The daemons that read the store at their start don't ask others.
  for (const { daemon, host } of others.slice(2)) {
    daemon.close();
    restarted.push(await fleet.restart(host));
  }
  const areReadyAgain = (): boolean => restarted.every(({ daemon }) => daemon.isReady);
  await waitUntil('the restarted daemons are ready', areReadyAgain, READY_MILLISECONDS);
  await delay(SETTLE_MILLISECONDS);
  fleet.store.configure(2, 'valuation');
  await Promise.all(
    restarted.map((entry) =>
      waitUntil(
        `the new configuration is in force at ${entry.host}`,
        async () => (await readVersion(entry)) === 2,
        CONFIGURATION_MILLISECONDS,
      ),
    ),
  );
});
