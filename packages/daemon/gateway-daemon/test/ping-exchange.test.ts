/**
 * Pattern: an endpoint begins to drain and its process ends two seconds later. A daemon that learns of it with its next
 * fetch of changes only may send it requests until then.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as datagrams from '@dogwoodstall/datagrams';
import { createSilentLog } from '@dogwoodstall/observability';
import type { Endpoint } from '@dogwoodstall/traffic';
import { Directory } from '../src/directory.js';
import { type Member, MemberTable } from '../src/member.js';
import { PeerState } from '../src/peer-state.js';
import { PingExchange, type PingExchangeOptions } from '../src/ping-exchange.js';
import { MemorySource } from './memory-source.js';
import { MemoryStore } from './memory-store.js';

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

function createMember(index: number): Member {
  return {
    name: `front-${index}`,
    zone: 'a',
    host: `127.0.0.${index}`,
    datagramPort: 7720,
    peerAddress: `127.0.0.${index}:1`,
    cores: 0.27,
    startedAt: 1,
  };
}

function createDirectory(): Directory {
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  directory.replaceEndpoints([endpoint], { era: 0, revision: 10 }, 'store');
  return directory;
}

function createExchange(directory: Directory, sent: string[]): PingExchange {
  const options = {
    members: new MemberTable(createMember(1)),
    directory,
    dispatcherRole: { stopping: false, listCellReports: () => [] },
    roleAssignment: { isSettled: () => true, storeAge: 10 },
    peerState: { fetchIfNewer: () => {} },
    crashRecords: { sendWithPong: () => {} },
    send: (message: datagrams.Message, { host }: datagrams.PeerAddress) => {
      sent.push(`${message[0]} ${host}`);
    },
  };
  return new PingExchange(options as unknown as PingExchangeOptions);
}

test('all daemons that pinged are told at once of a draining endpoint, and the standbys only of another change', () => {
  const directory = createDirectory();
  const sent: string[] = [];
  const exchange = createExchange(directory, sent);
  for (const [host, standby] of [['127.0.0.2', false] as const, ['127.0.0.3', true] as const]) {
    const versions = { configurationVersion: 1, directoryRevision: 10 };
    const ping = { sequence: 1, name: host, standby, ...versions };
    exchange.receivePing(ping, { host, port: 7720 });
  }
  sent.length = 0;
  directory.changeEndpoints([{ ...endpoint, slots: 3 }], [], { era: 0, revision: 11 }, 'store');
  exchange.announceEndpoints();
  assert.deepEqual(sent, ['pong 127.0.0.3']);
  sent.length = 0;
  directory.changeEndpoints(
    [{ ...endpoint, draining: true }],
    [],
    { era: 0, revision: 12 },
    'store',
  );
  exchange.announceEndpoints();
  assert.deepEqual(sent, ['pong 127.0.0.2', 'pong 127.0.0.3']);
});

test('a daemon that does not dispatch fetches the news of a draining endpoint without the usual wait', async () => {
  const members = new MemberTable(createMember(1));
  members.add(createMember(2));
  let fetches = 0;
  const log = createSilentLog().getLogger('membership');
  const peerState = new PeerState({
    members,
    directory: createDirectory(),
    source: new MemorySource(new MemoryStore()),
    seeds: () => [],
    isDispatching: () => false,
    isStopping: () => false,
    // The address of the other daemon refuses connections, so that each fetch ends with a warning.
    logger: {
      ...log,
      warn: () => {
        fetches += 1;
      },
    },
  });
  const learn = async (pong: { directoryRevision: number; drains: number[] }): Promise<number> => {
    peerState.fetchIfNewer({ configurationVersion: 0, ...pong }, '127.0.0.2');
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    return fetches;
  };
  assert.equal(await learn({ directoryRevision: 11, drains: [] }), 1);
  assert.equal(await learn({ directoryRevision: 12, drains: [9] }), 1, 'within the usual wait');
  assert.equal(await learn({ directoryRevision: 13, drains: [12] }), 2);
});
