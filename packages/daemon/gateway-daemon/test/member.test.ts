import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Member, MemberTable } from '../src/member.js';

function createMember(name: string, zone: string, cores: number): Member {
  return {
    name,
    zone,
    host: name,
    datagramPort: 1,
    peerAddress: `${name}:2`,
    cores,
    startedAt: 1,
  };
}

test('daemons rank by CPU capacity first and by zone second', () => {
  const members = [
    createMember('weak-a', 'a', 0.27),
    createMember('weak-b', 'b', 0.27),
    createMember('strong-a', 'a', 1.35),
    createMember('strong-b', 'b', 1.35),
  ];
  const table = new MemberTable(members[0] as Member);
  for (const member of members) {
    table.add(member);
  }
  const ranking = table.rank({ name: 'valuation@b#0', zone: 'b' }).map(({ name }) => name);
  assert.deepEqual(ranking, ['strong-b', 'strong-a', 'weak-b', 'weak-a']);
});

test('the ranking does not depend on the order in which the members were added', () => {
  const members = Array.from({ length: 20 }, (_, index) => createMember(`d-${index}`, 'a', 0.5));
  const forward = new MemberTable(members[0] as Member);
  const backward = new MemberTable(members[0] as Member);
  for (const member of members) {
    forward.add(member);
  }
  for (const member of [...members].reverse()) {
    backward.add(member);
  }
  const role = { name: 'valuation', zone: undefined };
  assert.deepEqual(
    forward.rank(role).map(({ name }) => name),
    backward.rank(role).map(({ name }) => name),
  );
});

test('a daemon is among the first of a role exactly if the ranking says so', () => {
  const zones = ['a', 'b', 'c'] as const;
  const members = Array.from({ length: 30 }, (_, index) =>
    createMember(`d-${index}`, zones[index % 3] as string, index % 5 === 0 ? 1.35 : 0.27),
  );
  const roles = Array.from({ length: 20 }, (_, index) => ({
    name: `service-${index}`,
    zone: [...zones, undefined][index % 4],
  }));
  for (const self of members) {
    const table = new MemberTable(self);
    for (const member of members) {
      table.add(member);
    }
    for (const role of roles) {
      const first = table.rank(role).slice(0, 4);
      assert.deepEqual([...table.iterateRanking(role)], table.rank(role));
      assert.equal(table.isSelfAmongFirst(role, 4), first.includes(self), self.name);
      assert.equal(table.findSelfPosition(role), table.rank(role).indexOf(self), self.name);
    }
  }
});
