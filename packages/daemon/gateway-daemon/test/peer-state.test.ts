import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLog } from '@dogwoodstall/observability';
import type { Endpoint, TrafficConfiguration } from '@dogwoodstall/traffic';
import { Directory } from '../src/directory.js';
import { type Member, MemberTable } from '../src/member.js';
import { PeerState } from '../src/peer-state.js';
import { stateRequestSchema } from '../src/state-server.js';
import { MemorySource } from './memory-source.js';
import { MemoryStore } from './memory-store.js';

function createMember(index: number): Member {
  return {
    name: `front-${index}`,
    zone: 'a',
    host: `10.0.0.${index}`,
    datagramPort: 7720,
    peerAddress: `10.0.0.${index}:8166`,
    cores: 0.27,
    startedAt: 1,
  };
}

function createDirectory(): Directory {
  return new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
}

function createEndpoint(id: string): Endpoint {
  return {
    id,
    service: 'offers',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 2,
    draining: false,
    warmUpMilliseconds: 0,
    lifetime: 1,
  };
}

function createPeerState(
  members: MemberTable,
  directory = createDirectory(),
  store = new MemoryStore(),
): PeerState {
  return new PeerState({
    members,
    directory,
    source: new MemorySource(store),
    seeds: () => [],
    isDispatching: () => false,
    isStopping: () => false,
    logger: createSilentLog().getLogger('membership'),
  });
}

test('a state lists the members only for a daemon that knows other ones, and the requesting daemon is added', () => {
  const members = new MemberTable(createMember(1));
  const peerState = createPeerState(members);
  const request = { configurationVersion: 0, directoryRevision: 0, members: [createMember(2)] };
  const first = peerState.handleStateRequest({ ...request, memberDigest: 'other' });
  assert.deepEqual(first.members?.map(({ name }) => name).sort(), ['front-1', 'front-2']);
  const same = peerState.handleStateRequest({ ...request, memberDigest: members.digest });
  assert.equal(same.members, undefined);
});

test('a request of an older daemon, which sends no digest, gets the members', () => {
  const peerState = createPeerState(new MemberTable(createMember(1)));
  const request = stateRequestSchema.parse({
    configurationVersion: 0,
    directoryRevision: 0,
    members: [createMember(2), createMember(3)],
  });
  assert.equal(peerState.handleStateRequest(request).members?.length, 3);
});

test('a daemon that starts too answers a request for the first state once it has it', async () => {
  const members = new MemberTable(createMember(1));
  const directory = createDirectory();
  const peerState = createPeerState(members, directory);
  const response = peerState.provideState({
    configurationVersion: 0,
    directoryRevision: 0,
    members: [createMember(2)],
    waitMilliseconds: 10_000,
  });
  const store = new MemoryStore();
  store.configure(4, 'offers');
  directory.activateConfiguration(store.configuration as TrafficConfiguration, 'store');
  directory.replaceEndpoints([], { era: 0, revision: 7 }, 'store');
  const state = await response;
  assert.equal(state.configuration?.version, 4);
  assert.equal(state.directoryRevision, 7);
});

const endpoint: Endpoint = {
  id: 'one',
  service: 'valuation',
  address: '127.0.0.1:1',
  zone: 'a',
  slots: 2,
  draining: false,
  warmUpMilliseconds: 0,
  lifetime: 1,
};

// Guards against daemons that keep a list with a higher revision, which the store has lost.
test('a state has the endpoints for a daemon that knows those of an earlier era, and names the unconfirmed ones', () => {
  const directory = createDirectory();
  const peerState = createPeerState(new MemberTable(createMember(1)), directory);
  directory.replaceEndpoints([endpoint], { era: 1, revision: 20 }, 'store');
  const two = { ...endpoint, id: 'two' };
  directory.replaceEndpoints([endpoint, two], { era: 2, revision: 15 }, 'store');
  const request = { configurationVersion: 0, members: [], directoryRevision: 20 };
  const state = peerState.handleStateRequest({ ...request, directoryEra: 1 });
  assert.equal(state.endpoints?.length, 2);
  assert.equal(state.directoryEra, 2);
  assert.deepEqual(state.unconfirmed, ['two']);
  assert.equal(
    peerState.handleStateRequest({ ...request, directoryEra: 2 }).endpoints,
    undefined,
    'a later position',
  );
  assert.equal(
    peerState.handleStateRequest(request).endpoints,
    undefined,
    'an older daemon is taken to be in the same era',
  );
  // A daemon that has just started knows nothing else of the endpoints.
  const started = createDirectory();
  const { unconfirmed } = state;
  started.replaceEndpoints(state.endpoints, { era: 2, revision: 15 }, 'peer', unconfirmed);
  assert.deepEqual(
    started.listAll().map(({ id }) => id),
    ['one'],
  );
  directory.close();
  started.close();
});

// Guards against a daemon that others don't find, because the store has lost its entry.
test('a daemon writes its entry again', async () => {
  const store = new MemoryStore();
  const members = new MemberTable(createMember(1));
  await createPeerState(members, createDirectory(), store).registerAgain();
  assert.deepEqual([...store.members.keys()], ['front-1']);
});

test('a daemon gets the changes of endpoints only, and an older one gets all endpoints', () => {
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const peerState = createPeerState(new MemberTable(createMember(1)), directory);
  const endpoints = ['one', 'two', 'three'].map((id) => createEndpoint(id));
  directory.replaceEndpoints(endpoints, { era: 0, revision: 7 }, 'store');
  directory.changeEndpoints(
    [{ ...createEndpoint('two'), draining: true }],
    ['one'],
    { era: 0, revision: 9 },
    'store',
  );
  const request = { configurationVersion: 0, directoryRevision: 7, members: [createMember(2)] };
  const older = peerState.handleStateRequest(request);
  assert.deepEqual(older.endpoints?.map(({ id }) => id).sort(), ['three', 'two']);
  assert.equal(older.changes, undefined);
  const { changes, endpoints: all } = peerState.handleStateRequest({
    ...request,
    acceptsChanges: true,
  });
  assert.equal(all, undefined);
  assert.deepEqual(changes?.removed, ['one']);
  assert.deepEqual(
    changes.puts.map(({ id }) => id),
    ['two'],
  );
});
