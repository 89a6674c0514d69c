/**
 * What a daemon has to verify after a suspension, before it dispatches again.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type * as datagrams from '@dogwoodstall/datagrams';
import { Candidates } from '../src/candidates.js';
import type { Directory } from '../src/directory.js';
import { type Member, MemberTable } from '../src/member.js';
import { RoleAssignment } from '../src/role-assignment.js';
import { StoreContactTracker } from '../src/store-contact-tracker.js';

/** Longer than a daemon that has just started, or can't verify anything, waits before it dispatches. */
const SETTLED_MILLISECONDS = 1600;

function createMember(index: number): Member {
  const host = `10.0.0.${index}`;
  const addresses = { host, datagramPort: 1, peerAddress: `${host}:1` };
  return { name: `daemon-${index}`, zone: 'a', ...addresses, cores: 1, startedAt: 1 };
}

function createRoles(): RoleAssignment {
  return new RoleAssignment({
    members: new MemberTable(createMember(1)),
    directory: { hasEndpoints: true } as Directory,
    storeContact: new StoreContactTracker(),
    retries: () => ({ ratio: 0, slack: 0, windowSeconds: 1 }),
    candidates: () => ({ hasUsablePeer: () => true }) as unknown as Candidates,
    joinedAt: () => undefined,
    isRoleActive: () => false,
    lastStoreContactAt: () => 0,
    isStoreLost: () => false,
  });
}

test('a daemon that was suspended dispatches again once its endpoints are confirmed, or nobody confirms them', async () => {
  const roles = createRoles();
  await delay(SETTLED_MILLISECONDS);
  assert.equal(roles.isSettled(), true);
  roles.beginVerification();
  assert.deepEqual([roles.isSettled(), roles.isVerifying], [false, true]);
  roles.confirmEndpoints();
  assert.deepEqual([roles.isSettled(), roles.isVerifying], [true, false]);
  roles.beginVerification();
  await delay(SETTLED_MILLISECONDS);
  assert.deepEqual([roles.isSettled(), roles.isVerifying], [true, false]);
});

test('a daemon that has just started is not settled by a confirmation, because it knows nothing of the endpoints', () => {
  const roles = createRoles();
  assert.equal(roles.isSettled(), false);
  roles.beginVerification();
  roles.confirmEndpoints();
  assert.equal(roles.isSettled(), false);
});

test('a pong that waited during a suspension is no confirmation, and a missing one does not make a daemon unresponsive', () => {
  const sent: datagrams.Ping[] = [];
  let now = 0;
  const members = new MemberTable(createMember(1));
  members.add(createMember(2));
  const changes: string[] = [];
  const candidates = new Candidates({
    members,
    listCells: () => [],
    isSelfUsable: () => true,
    getVersions: () => ({ configurationVersion: 1, directoryRevision: 1 }),
    send: ([, content]) => sent.push(content as datagrams.Ping),
    onChange: (name, responsive) => changes.push(`${name} ${responsive}`),
    now: () => now,
  });
  const pong: Omit<datagrams.Pong, 'sequence'> = {
    stopping: false,
    settled: true,
    configurationVersion: 1,
    directoryRevision: 1,
    storeAge: 0,
    memberDigest: '',
    cells: [],
    drains: [],
  };
  candidates.tick();
  const [first] = sent as [datagrams.Ping];
  candidates.receivePong('daemon-2', { ...pong, sequence: first.sequence });
  assert.equal(candidates.isCurrent(first), true);
  now += 500;
  candidates.tick();
  const pending = sent.at(-1) as datagrams.Ping;
  now += 5000;
  candidates.resume();
  const repeated = sent.at(-1) as datagrams.Ping;
  assert.equal(candidates.isCurrent(pending), false);
  assert.equal(candidates.isCurrent(repeated), true);
  assert.equal(candidates.isCurrent({ sequence: 0 }), false, 'an unsolicited pong');
  assert.deepEqual(changes, ['daemon-2 true']);
});
