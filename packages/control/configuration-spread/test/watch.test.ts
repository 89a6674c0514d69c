import * as assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';
import * as results from '@dogwoodstall/results';
import { Fleet, reach, reachAll, type Daemon } from './fleet.js';
import { MemoryLog } from './memory-log.js';

const DEADLINE = { timeout: 20_000 };

function createFleet(context: TestContext): Fleet {
  const fleet = new Fleet();
  context.after(() => fleet.stop());
  return fleet;
}

async function untilReaders(log: MemoryLog, count: number): Promise<void> {
  while (log.readers < count) {
    await delay(2);
  }
}

test(
  'watchers that lost the store for long return spread over the longest wait, each with one call',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const retry = { retryMinimum: 20, retryMaximum: 1500 };
    for (let index = 0; index < 42; index += 1) {
      fleet.add(`daemon-${index}`, `zone-${index % 7}`, fleet.log, retry);
    }
    fleet.start();
    await untilReaders(fleet.log, 14);
    fleet.log.goAway();
    // After seven failures in a row the waits have reached their longest range.
    while (fleet.log.openedAt.length < 14 * 8) {
      await delay(5);
    }
    const returnedAt = performance.now();
    fleet.log.away = false;
    await untilReaders(fleet.log, 14);
    const calls = fleet.log.openedAt.filter((at) => at >= returnedAt);
    assert.equal(calls.length, 14, 'one call of each watcher, and none of the others');
    const span = Math.max(...calls) - Math.min(...calls);
    assert.ok(span > retry.retryMaximum / 4, `all came back within ${span} ms`);
  },
);

test(
  'a watch whose connection died unnoticed is opened anew and finds the changes it missed',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const only = fleet.add('daemon-a', 'zone-a', fleet.log, { watch: 100 });
    fleet.log.silent = true;
    fleet.start();
    await reach(only, 0);
    while (fleet.log.openedAt.length === 0) {
      await delay(2);
    }
    fleet.log.commit();
    fleet.log.silent = false;
    await reach(only, 1);
  },
);

test(
  'one watcher of the whole fleet writes a snapshot each 200 changes',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    for (let index = 0; index < 6; index += 1) {
      fleet.add(`daemon-${index}`, `zone-${index % 3}`);
    }
    fleet.start();
    await untilReaders(fleet.log, 6);
    for (let revision = 1; revision <= 450; revision += 1) {
      fleet.log.commit();
      // The members know the revision that their watcher handles while the snapshot is written.
      await new Promise(setImmediate);
    }
    await reachAll(fleet, 450);
    while (fleet.log.snapshots.length < 2) {
      await delay(2);
    }
    assert.deepEqual(fleet.log.snapshots, [200, 400]);
  },
);

test(
  'a change above the push limit is told by number only and still comes into force',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const [first, second] = ['a', 'b'].map((name) => fleet.add(`daemon-${name}`, 'zone-a')) as [
      Daemon,
      Daemon,
    ];
    const away = new MemoryLog();
    fleet.start();
    await reachAll(fleet, 0);
    fleet.log.goAway();
    const pushes: number[] = [];
    fleet.onCall = (name, input) => {
      if (name === 'pushChange') {
        pushes.push(JSON.stringify(input).length);
      }
    };
    const change = away.commit('a'.repeat(2000));
    const operations = Array.from({ length: 200 }, () => change.operations).flat();
    await first.keeper.publish({ ...change, operations });
    await reach(second, 1);
    assert.ok(pushes.length > 0 && pushes.every((size) => size < 4096), pushes.join(' '));
  },
);

test(
  'a watcher that is paused does not hold up its zone, and catches up without going back',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const silent = new MemoryLog();
    silent.silent = true;
    for (let index = 0; index < 8; index += 1) {
      const isPaused = index === 0;
      fleet.add(`daemon-${index}`, `zone-${index % 2}`, isPaused ? silent : fleet.log);
    }
    fleet.start();
    await reachAll(fleet, 0);
    fleet.link = (from, to) => (from === 'daemon-0' || to === 'daemon-0' ? 'request-lost' : 'open');
    const seen: number[] = [];
    const paused = fleet.daemons.get('daemon-0')!;
    paused.keeper.configurations.forEach((next) => seen.push(next.revision)).catch(assert.fail);
    fleet.log.commit();
    fleet.log.commit();
    for (const [name, daemon] of fleet.daemons) {
      if (name !== 'daemon-0') {
        await reach(daemon, 2);
      }
    }
    assert.deepEqual(seen, []);
    fleet.link = undefined;
    await reach(paused, 2);
    assert.deepEqual(seen, [1, 2]);
    assert.equal(results.getViolationCounts().get('RevisionReverted'), undefined);
  },
);

test(
  'a daemon that starts in an outage takes the highest revision of its zone, not the first answer',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    for (const name of ['a', 'b', 'c']) {
      fleet.add(`daemon-${name}`, 'zone-a');
    }
    fleet.start();
    await reachAll(fleet, 0);
    // Daemon b gets the change, and the others are cut off from it and from the store.
    fleet.log.goAway();
    fleet.link = () => 'request-lost';
    const log = new MemoryLog();
    await fleet.daemons.get('daemon-b')!.keeper.publish(log.commit());
    const away = new MemoryLog();
    away.away = true;
    const late = fleet.add('daemon-late', 'zone-a', away);
    fleet.link = (from) => (from === 'daemon-late' ? 'open' : 'request-lost');
    const seen: number[] = [];
    late.keeper.configurations.forEach((next) => seen.push(next.revision)).catch(assert.fail);
    late.keeper.start();
    await reach(late, 1);
    assert.deepEqual(seen, [1]);
  },
);

test(
  'a revision that membership heard of is pulled without an exchange',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const rare = { exchange: 60_000 };
    const first = fleet.add('daemon-a', 'zone-a', fleet.log, rare);
    const second = fleet.add('daemon-b', 'zone-a', fleet.log, rare);
    fleet.start();
    await reachAll(fleet, 0);
    fleet.log.goAway();
    fleet.link = (from) => (from === 'daemon-a' ? 'request-lost' : 'open');
    await first.keeper.publish(new MemoryLog().commit());
    second.keeper.noteRevision('daemon-a', 1);
    await reach(second, 1);
  },
);

test(
  'a source that does not answer does not hold up the pull from another',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const rare = { exchange: 60_000 };
    const [first, second, third] = ['a', 'b', 'c'].map((name) =>
      fleet.add(`daemon-${name}`, 'zone-a', fleet.log, rare),
    ) as [Daemon, Daemon, Daemon];
    fleet.start();
    await reachAll(fleet, 0);
    fleet.log.goAway();
    fleet.link = () => 'request-lost';
    const change = new MemoryLog().commit();
    await first.keeper.publish(change);
    await second.keeper.publish(change);
    const stall = new EventEmitter();
    fleet.stall = once(stall, 'end').then(() => {});
    fleet.link = (from, to) => {
      const isPull = from === 'daemon-c';
      return isPull && to === 'daemon-b' ? 'open' : (isPull && 'stalled') || 'request-lost';
    };
    third.keeper.noteRevision('daemon-a', 1);
    third.keeper.noteRevision('daemon-b', 1);
    await reach(third, 1);
    stall.emit('end');
  },
);
