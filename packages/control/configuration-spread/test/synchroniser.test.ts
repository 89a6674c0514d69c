import * as assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import * as results from '@dogwoodstall/results';
import { Fleet, waitForRevision, waitForRevisionEverywhere, type Daemon } from './fleet.js';
import { createChange, MemoryLog } from './memory-log.js';

const DEADLINE = { timeout: 20_000 };

function createFleet(context: TestContext, zones: number, perZone: number): Fleet {
  const fleet = new Fleet();
  context.after(() => fleet.stop());
  for (let zone = 0; zone < zones; zone += 1) {
    for (let index = 0; index < perZone; index += 1) {
      fleet.add(`daemon-${zone}-${index}`, `zone-${zone}`);
    }
  }
  return fleet;
}

test(
  'a commit reaches daemons that do not watch the store, in every zone',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 3, 6);
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    while (fleet.log.readers < 6) {
      await new Promise(setImmediate);
    }
    fleet.log.commit();
    await waitForRevisionEverywhere(fleet, 1);
    assert.equal(fleet.log.readers, 6);
  },
);

test(
  'a change committed by one daemon reaches the others while no daemon can watch the store',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 3, 4);
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    fleet.log.becomeUnavailable();
    const publisher = fleet.daemons.get('daemon-0-0')!;
    await publisher.synchroniser.publish(createChange(1));
    await waitForRevisionEverywhere(fleet, 1);
  },
);

test(
  'without the store a daemon starts only when a majority of its zone responds',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 1, 4);
    fleet.log.commit();
    fleet.start();
    await waitForRevisionEverywhere(fleet, 1);
    const unavailableLog = new MemoryLog();
    unavailableLog.isUnavailable = true;
    const late = fleet.add('daemon-late', 'zone-0', unavailableLog);
    fleet.link = (from, to) =>
      from === 'daemon-late' && to !== 'daemon-0-0' ? 'request-lost' : 'open';
    late.synchroniser.start();
    while (late.synchroniser.lastStartFailure?.kind !== 'PeerLacksConfiguration') {
      await new Promise(setImmediate);
    }
    assert.equal(late.synchroniser.current, undefined);
    fleet.link = () => 'open';
    await waitForRevision(late, 1);
  },
);

test(
  'a restarted fleet without the store stays without a configuration',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 1, 3);
    fleet.log.isUnavailable = true;
    fleet.start();
    const [first] = fleet.daemons.values();
    while (first?.synchroniser.lastStartFailure?.kind !== 'PeerLacksConfiguration') {
      await new Promise(setImmediate);
    }
    assert.equal(first.synchroniser.current, undefined);
    fleet.log.isUnavailable = false;
    await waitForRevisionEverywhere(fleet, 0);
  },
);

test(
  'reversed, repeated and skipping pushes never lower a revision or leave a gap',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 1, 2);
    const [first, second] = [...fleet.daemons.values()] as [Daemon, Daemon];
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    fleet.log.becomeUnavailable();
    const seen: number[] = [];
    const push = async (revision: number): Promise<unknown> => {
      const change = createChange(revision);
      return first.synchroniser.handlers.pushChange({ from: 'x', revision, change }, { name: 'x' });
    };
    first.synchroniser.configurations
      .forEach((next) => seen.push(next.revision))
      .catch(assert.fail);
    for (const revision of [3, 1, 1, 3, 2, 1, 3, 2]) {
      await push(revision);
    }
    await waitForRevision(second, 3);
    assert.deepEqual(seen, [1, 2, 3]);
    assert.equal(results.getViolationCounts().get('RevisionReverted'), undefined);
  },
);

test('peers whose responses are lost still receive the revision', DEADLINE, async (context) => {
  const fleet = createFleet(context, 2, 3);
  fleet.start();
  await waitForRevisionEverywhere(fleet, 0);
  fleet.log.becomeUnavailable();
  const publisher = fleet.daemons.get('daemon-0-0')!;
  fleet.link = (from) => (from === 'daemon-0-0' ? 'answer-lost' : 'open');
  await publisher.synchroniser.publish(createChange(1));
  await waitForRevisionEverywhere(fleet, 1);
});

test(
  'a partitioned zone catches up afterwards, even when the changes are no longer buffered',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 2, 3);
    fleet.start();
    await waitForRevisionEverywhere(fleet, 0);
    fleet.log.becomeUnavailable();
    fleet.link = (from, to) => (from.slice(0, 8) === to.slice(0, 8) ? 'open' : 'request-lost');
    const publisher = fleet.daemons.get('daemon-0-0')!;
    for (let revision = 1; revision <= 300; revision += 1) {
      await publisher.synchroniser.publish(createChange(revision));
    }
    await waitForRevision(fleet.daemons.get('daemon-0-2')!, 300);
    assert.equal(fleet.daemons.get('daemon-1-0')!.synchroniser.current?.revision, 0);
    const before = publisher.synchroniser.getStatusByZone();
    assert.deepEqual(before.zones[1]?.lagging, ['daemon-1-0', 'daemon-1-1', 'daemon-1-2']);
    fleet.link = () => 'open';
    await waitForRevisionEverywhere(fleet, 300);
    assert.equal(publisher.synchroniser.getStatusByZone().zones[1]?.revision, 300);
  },
);

test('a burst of changes is combined into few pushes', DEADLINE, async (context) => {
  const fleet = createFleet(context, 1, 2);
  const [first, second] = [...fleet.daemons.values()] as [Daemon, Daemon];
  fleet.start();
  await waitForRevisionEverywhere(fleet, 0);
  fleet.log.becomeUnavailable();
  for (let revision = 1; revision <= 50; revision += 1) {
    await first.synchroniser.publish(createChange(revision, 'a'.repeat(1999)));
  }
  assert.equal(fleet.calls.filter((call) => call.startsWith('daemon-0-0 pushChange')).length, 1);
  await waitForRevision(second, 50);
  assert.ok(fleet.calls.filter((call) => call.includes('pushChange')).length < 10);
});
