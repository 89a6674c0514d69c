import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { type TestContext, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createSilentLog } from '@dogwoodstall/observability';
import { SilentAddress } from '@dogwoodstall/stand-ins';
import type { Endpoint, TrafficConfiguration } from '@dogwoodstall/traffic';
import { Directory } from '../src/directory.js';
import { type Member, MemberTable, STORE_WATCHER_ROLE } from '../src/member.js';
import { PeerState } from '../src/peer-state.js';
import { SideTaskErrors } from '../src/side-task-errors.js';
import { findStartPlace } from '../src/start-tree.js';
import { StateServer } from '../src/state-server.js';
import { waitUntil } from './fleet.js';
import { MemorySource } from './memory-source.js';
import { MemoryStore } from './memory-store.js';
import { listenWithoutResponse } from './unresponsive-server.js';

/** Time after which an accepted change of the configuration or an announced drain is in force, as the users allow. */
const APPLY_MILLISECONDS = 2000;
const VERSION = 5;
const REVISION = 7;

function createMember(number: number, peerAddress: string): Member {
  return {
    name: `front-${number}`,
    zone: 'a',
    host: `10.0.0.${number}`,
    datagramPort: 7720,
    peerAddress,
    cores: 1,
    startedAt: 1,
  };
}

const endpoint: Endpoint = {
  id: 'one',
  service: 'offers',
  address: '127.0.0.1:1',
  zone: 'a',
  slots: 2,
  draining: false,
  warmUpMilliseconds: 0,
  lifetime: 1,
};

function createDirectory(version: number): Directory {
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const store = new MemoryStore();
  store.configure(version, 'offers');
  directory.activateConfiguration(store.configuration as TrafficConfiguration, 'store');
  directory.replaceEndpoints([endpoint], { era: 0, revision: REVISION }, 'store');
  return directory;
}

function createPeerState(
  context: TestContext,
  members: MemberTable,
  directory: Directory,
): PeerState {
  const peerState = new PeerState({
    members,
    directory,
    source: new MemorySource(new MemoryStore()),
    seeds: () => [],
    isDispatching: () => false,
    isStopping: () => false,
    logger: createSilentLog().getLogger('membership'),
  });
  context.after(() => {
    peerState.close();
    directory.close();
  });
  return peerState;
}

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Starts a daemon that serves its state, and returns its entry. */
async function serveState(
  context: TestContext,
  number: number,
  directory: Directory,
): Promise<Member> {
  const members = new MemberTable(createMember(number, '127.0.0.1:1'));
  const peerState = createPeerState(context, members, directory);
  const errors = new SideTaskErrors(createSilentLog().getLogger('daemon'));
  const server = new StateServer((request) => peerState.provideState(request), errors, 8);
  const port = await findFreePort();
  await server.listen('127.0.0.1', port);
  context.after(() => server.close());
  return createMember(number, `127.0.0.1:${port}`);
}

async function suspend(context: TestContext, number: number): Promise<Member> {
  return createMember(number, await listenWithoutResponse(context));
}

async function removeForGood(context: TestContext, number: number): Promise<Member> {
  const silent = await SilentAddress.open();
  context.after(() => silent.close());
  return createMember(number, silent.address);
}

function createTable(self: Member, others: readonly Member[]): MemberTable {
  const members = new MemberTable(self);
  others.forEach((member) => members.add(member));
  return members;
}

const self = createMember(1, '127.0.0.1:1');
const versions = { configurationVersion: VERSION, directoryRevision: REVISION };

// Guards against a new configuration that is missed because its announcement arrives while another daemon is asked.
test('a configuration that is announced during a fetch from a daemon that does not respond is in force in time', async (context) => {
  for (const unresponsive of [await suspend(context, 2), await removeForGood(context, 3)]) {
    const live = await serveState(context, 4, createDirectory(VERSION));
    const directory = createDirectory(1);
    const members = createTable(self, [unresponsive, live]);
    const peerState = createPeerState(context, members, directory);
    peerState.fetchIfNewer(versions, unresponsive.host);
    await delay(50);
    peerState.fetchIfNewer(versions, live.host);
    await waitUntil(
      `the new version is in force beside ${unresponsive.name}`,
      () => directory.configurationVersion === VERSION,
      APPLY_MILLISECONDS,
    );
  }
});

// Guards against requests to endpoints that left, because their drain was announced while another daemon was asked.
test('a drain that is announced during a fetch from a daemon that does not respond is known in time', async (context) => {
  const changed = createDirectory(1);
  changed.changeEndpoints(
    [{ ...endpoint, draining: true }],
    [],
    { era: 0, revision: REVISION + 1 },
    'store',
  );
  const live = await serveState(context, 4, changed);
  const suspended = await suspend(context, 2);
  const directory = createDirectory(1);
  const peerState = createPeerState(context, createTable(self, [suspended, live]), directory);
  const announcement = {
    configurationVersion: 1,
    directoryRevision: REVISION + 1,
    drains: [REVISION + 1],
  };
  peerState.fetchIfNewer(announcement, suspended.host);
  await delay(50);
  peerState.fetchIfNewer(announcement, live.host);
  await waitUntil('the drain is known', () => directory.isLeaving('one', 1), APPLY_MILLISECONDS);
});

// Guards against a daemon that starts and misses what others announce while it asks those that are gone.
test('a daemon that starts while the daemons before it are gone gets the state from one that announces it', async (context) => {
  const live = await serveState(context, 9, createDirectory(VERSION));
  const gone = await Promise.all([2, 3, 4, 5].map((number) => removeForGood(context, number)));
  // Those with more cores rank first, so that all daemons that the starting one asks are gone.
  const members = createTable(self, [...gone.map((member) => ({ ...member, cores: 4 })), live]);
  const { providers } = findStartPlace(members.rank(STORE_WATCHER_ROLE), self);
  assert.ok(providers.length > 1 && !providers.includes(live));
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const peerState = createPeerState(context, members, directory);
  const joined = peerState.join();
  await waitUntil('joined', () => peerState.joinedAt !== undefined, APPLY_MILLISECONDS);
  await delay(50);
  peerState.fetchIfNewer(versions, live.host);
  await waitUntil('the state is complete', () => directory.isComplete, APPLY_MILLISECONDS);
  await joined;
});

// Guards against fetches of the same large configuration from each daemon that announces it.
test('a configuration that several daemons announce is fetched once', async (context) => {
  const announcing = await Promise.all(
    [2, 3, 4, 5].map((number) => serveState(context, number, createDirectory(VERSION))),
  );
  const directory = createDirectory(1);
  const peerState = createPeerState(context, createTable(self, announcing), directory);
  announcing.forEach(({ host }) => peerState.fetchIfNewer(versions, host));
  await waitUntil(
    'the new version is in force',
    () => directory.configurationVersion === VERSION,
    APPLY_MILLISECONDS,
  );
  await delay(200);
  assert.equal(peerState.fetchCounts.get('succeeded'), 1);
  assert.equal(peerState.fetchCounts.get('deferred'), 3);
});
