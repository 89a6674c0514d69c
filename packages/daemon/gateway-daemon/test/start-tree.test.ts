/**
 * Pattern: all daemons of a fleet start together after a loss of power. If they request their first state from the same
 * few daemons, or all read it from the store, these can't respond in time.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Member } from '../src/member.js';
import { computeStartTimeout, findStartPlace } from '../src/start-tree.js';

function createRanking(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `front-${index}`,
    zone: 'a',
    host: `10.0.0.${index}`,
    datagramPort: 7720,
    peerAddress: `10.0.0.${index}:8166`,
    cores: 0.2,
    startedAt: 1,
  }));
}

test('three of 810 daemons read the store, and no daemon is the first provider of more than six others', () => {
  const ranking = createRanking(810);
  const readers: string[] = [];
  const requesters = new Map<string, number>();
  for (const member of ranking) {
    const { level, providers } = findStartPlace(ranking, member);
    const [first] = providers;
    if (first === undefined) {
      readers.push(member.name);
    } else {
      requesters.set(first.name, (requesters.get(first.name) ?? 0) + 1);
    }
    assert.ok(level <= 4, `${member.name} has level ${level}`);
  }
  assert.deepEqual(readers, ['front-0', 'front-1', 'front-2']);
  assert.equal(Math.max(...requesters.values()), 6);
});

test('a provider gets its state before its requesters and gives up waiting before them', () => {
  const ranking = createRanking(179);
  for (const member of ranking) {
    const { level, providers } = findStartPlace(ranking, member);
    const [first] = providers;
    if (first !== undefined) {
      const place = findStartPlace(ranking, first);
      assert.equal(place.level, level - 1);
      const isEarlier = computeStartTimeout(place.level) < computeStartTimeout(level);
      assert.ok(place.level === 0 || isEarlier, member.name);
    }
  }
});

test('every daemon can request the state from each reader when its provider is lost', () => {
  const ranking = createRanking(50);
  for (const member of ranking.slice(3)) {
    const { providers } = findStartPlace(ranking, member);
    for (const reader of ranking.slice(0, 3)) {
      assert.ok(providers.includes(reader), `${member.name} to ${reader.name}`);
    }
    assert.equal(new Set(providers).size, providers.length);
  }
});
