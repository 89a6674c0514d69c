import * as assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';
import * as results from '@dogwoodstall/results';
import { Fleet, waitForRevision, waitForRevisionEverywhere, type Daemon } from './fleet.js';
import { MemoryLog } from './memory-log.js';

const DEADLINE = { timeout: 20_000 };

function createFleet(context: TestContext): Fleet {
  const fleet = new Fleet();
  context.after(() => fleet.stop());
  return fleet;
}

async function waitForReaders(log: MemoryLog, count: number): Promise<void> {
  while (log.readers < count) {
    await delay(2);
  }
}

test(
  'after a long outage watchers reconnect spread over the maximum delay, each with one call',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const retry = { retryMinimum: 20, retryMaximum: 1500 };
    for (let index = 0; index < 42; index += 1) {
      fleet.add(`daemon-${index}`, `zone-${index % 7}`, fleet.log, retry);
    }
    fleet.start();
    await waitForReaders(fleet.log, 14);
    fleet.log.becomeUnavailable();
    // After seven consecutive failures the delays have reached their maximum range.
    while (fleet.log.openedAt.length < 14 * 8) {
      await delay(5);
    }
    const returnedAt = performance.now();
    fleet.log.isUnavailable = false;
    await waitForReaders(fleet.log, 14);
    const calls = fleet.log.openedAt.filter((at) => at >= returnedAt);
    assert.equal(calls.length, 14, 'each watcher makes one call, other daemons none');
    const span = Math.max(...calls) - Math.min(...calls);
    assert.ok(span > retry.retryMaximum / 4, `all reconnected within ${span} ms`);
  },
);

test(
  'a watch whose connection died undetected is reopened and reads the missed changes',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const only = fleet.add('daemon-a', 'zone-a', fleet.log, { watch: 100 });
    fleet.log.isUnresponsive = true;
    fleet.start();
    await waitForRevision(only, 0);
    while (fleet.log.openedAt.length === 0) {
      await delay(2);
    }
    fleet.log.commit();
    fleet.log.isUnresponsive = false;
    await waitForRevision(only, 1);
  },
);

test(
  'only one watcher of the fleet writes a snapshot every 200 changes',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    for (let index = 0; index < 6; index += 1) {
      fleet.add(`daemon-${index}`, `zone-${index % 3}`);
    }
    fleet.start();
    await waitForReaders(fleet.log, 6);
    for (let revision = 1; revision <= 450; revision += 1) {
      fleet.log.commit();
      // Lets the members receive the revision that their watcher handles while the snapshot is written.
      await new Promise(setImmediate);
    }
    await waitForRevisionEverywhere(fleet, 450);
    while (fleet.log.snapshots.length < 2) {
      await delay(2);
    }
    assert.deepEqual(fleet.log.snapshots, [200, 400]);
  },
);

test(
  'a change above the push limit is announced by its revision only and still applied',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const [first, second] = ['a', 'b'].map((name) => fleet.add(`daemon-${name}`, 'zone-a')) as [
      Daemon,
      Daemon,
    ];
    const unsharedLog = new MemoryLog();
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    fleet.log.becomeUnavailable();
    const pushes: number[] = [];
    fleet.onCall = (name, input) => {
      if (name === 'pushChange') {
        pushes.push(JSON.stringify(input).length);
      }
    };
    const change = unsharedLog.commit('a'.repeat(2000));
    const operations = Array.from({ length: 200 }, () => change.operations).flat();
    await first.synchroniser.publish({ ...change, operations });
    await waitForRevision(second, 1);
    assert.ok(pushes.length > 0 && pushes.every((size) => size < 4096), pushes.join(' '));
  },
);

test(
  'a paused watcher does not delay its zone, and catches up without reverting a revision',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const unresponsiveLog = new MemoryLog();
    unresponsiveLog.isUnresponsive = true;
    for (let index = 0; index < 8; index += 1) {
      const isPaused = index === 0;
      fleet.add(`daemon-${index}`, `zone-${index % 2}`, isPaused ? unresponsiveLog : fleet.log);
    }
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    fleet.link = (from, to) => (from === 'daemon-0' || to === 'daemon-0' ? 'request-lost' : 'open');
    const seen: number[] = [];
    const paused = fleet.daemons.get('daemon-0')!;
    paused.synchroniser.configurations
      .forEach((next) => seen.push(next.revision))
      .catch(assert.fail);
    fleet.log.commit();
    fleet.log.commit();
    for (const [name, daemon] of fleet.daemons) {
      if (name !== 'daemon-0') {
        await waitForRevision(daemon, 2);
      }
    }
    assert.deepEqual(seen, []);
    fleet.link = undefined;
    await waitForRevision(paused, 2);
    assert.deepEqual(seen, [1, 2]);
    assert.equal(results.getViolationCounts().get('RevisionReverted'), undefined);
  },
);

test(
  'a daemon that starts in an outage reads the highest revision of its zone, not the first response',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    for (const name of ['a', 'b', 'c']) {
      fleet.add(`daemon-${name}`, 'zone-a');
    }
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    // Only daemon b has the change; the others are partitioned from it and from the store.
    fleet.log.becomeUnavailable();
    fleet.link = () => 'request-lost';
    const log = new MemoryLog();
    await fleet.daemons.get('daemon-b')!.synchroniser.publish(log.commit());
    const unavailableLog = new MemoryLog();
    unavailableLog.isUnavailable = true;
    const late = fleet.add('daemon-late', 'zone-a', unavailableLog);
    fleet.link = (from) => (from === 'daemon-late' ? 'open' : 'request-lost');
    const seen: number[] = [];
    late.synchroniser.configurations.forEach((next) => seen.push(next.revision)).catch(assert.fail);
    late.synchroniser.start();
    await waitForRevision(late, 1);
    assert.deepEqual(seen, [1]);
  },
);

test(
  'a revision announced through membership is pulled without an exchange',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const rare = { exchange: 60_000 };
    const first = fleet.add('daemon-a', 'zone-a', fleet.log, rare);
    const second = fleet.add('daemon-b', 'zone-a', fleet.log, rare);
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    fleet.log.becomeUnavailable();
    fleet.link = (from) => (from === 'daemon-a' ? 'request-lost' : 'open');
    await first.synchroniser.publish(new MemoryLog().commit());
    second.synchroniser.recordRevision('daemon-a', 1);
    await waitForRevision(second, 1);
  },
);

test(
  'a source that does not respond does not delay the pull from another',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context);
    const rare = { exchange: 60_000 };
    const [first, second, third] = ['a', 'b', 'c'].map((name) =>
      fleet.add(`daemon-${name}`, 'zone-a', fleet.log, rare),
    ) as [Daemon, Daemon, Daemon];
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    fleet.log.becomeUnavailable();
    fleet.link = () => 'request-lost';
    const change = new MemoryLog().commit();
    await first.synchroniser.publish(change);
    await second.synchroniser.publish(change);
    const stall = new EventEmitter();
    fleet.stall = once(stall, 'end').then(() => {});
    fleet.link = (from, to) => {
      const isPull = from === 'daemon-c';
      return isPull && to === 'daemon-b' ? 'open' : (isPull && 'stalled') || 'request-lost';
    };
    third.synchroniser.recordRevision('daemon-a', 1);
    third.synchroniser.recordRevision('daemon-b', 1);
    await waitForRevision(third, 1);
    stall.emit('end');
  },
);
