import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLog } from '@dogwoodstall/observability';
import type { TrafficConfiguration } from '@dogwoodstall/traffic';
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

function createPeerState(
  members: MemberTable,
  directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} }),
): PeerState {
  return new PeerState({
    members,
    directory,
    source: new MemorySource(new MemoryStore()),
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
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
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
  directory.replaceEndpoints([], 7, 'store');
  const state = await response;
  assert.equal(state.configuration?.version, 4);
  assert.equal(state.directoryRevision, 7);
});
