import * as assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import * as results from '@dogwoodstall/results';
import { Fleet, reach, reachAll, type Daemon } from './fleet.js';
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
    await reachAll(fleet, 0);
    while (fleet.log.readers < 6) {
      await new Promise(setImmediate);
    }
    fleet.log.commit();
    await reachAll(fleet, 1);
    assert.equal(fleet.log.readers, 6);
  },
);

test(
  'a change committed by one daemon spreads while no daemon can watch the store',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 3, 4);
    fleet.start();
    await reachAll(fleet, 0);
    fleet.log.goAway();
    const publisher = fleet.daemons.get('daemon-0-0')!;
    await publisher.keeper.publish(createChange(1));
    await reachAll(fleet, 1);
  },
);

test(
  'without the store a daemon starts from the majority of its zone, and not from fewer',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 1, 4);
    fleet.log.commit();
    fleet.start();
    await reachAll(fleet, 1);
    const away = new MemoryLog();
    away.away = true;
    const late = fleet.add('daemon-late', 'zone-0', away);
    fleet.link = (from, to) =>
      from === 'daemon-late' && to !== 'daemon-0-0' ? 'request-lost' : 'open';
    late.keeper.start();
    while (late.keeper.lastStartFailure?.kind !== 'PeerLacksConfiguration') {
      await new Promise(setImmediate);
    }
    assert.equal(late.keeper.current, undefined);
    fleet.link = () => 'open';
    await reach(late, 1);
  },
);

test(
  'a restarted fleet without the store stays without a configuration',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 1, 3);
    fleet.log.away = true;
    fleet.start();
    const [first] = fleet.daemons.values();
    while (first?.keeper.lastStartFailure?.kind !== 'PeerLacksConfiguration') {
      await new Promise(setImmediate);
    }
    assert.equal(first.keeper.current, undefined);
    fleet.log.away = false;
    await reachAll(fleet, 0);
  },
);

test(
  'reversed, repeated and skipping pushes never lower a revision or leave a gap',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 1, 2);
    const [first, second] = [...fleet.daemons.values()] as [Daemon, Daemon];
    fleet.start();
    await reachAll(fleet, 0);
    fleet.log.goAway();
    const seen: number[] = [];
    const push = async (revision: number): Promise<unknown> => {
      const change = createChange(revision);
      return first.keeper.handlers.pushChange({ from: 'x', revision, change }, { name: 'x' });
    };
    first.keeper.configurations.forEach((next) => seen.push(next.revision)).catch(assert.fail);
    for (const revision of [3, 1, 1, 3, 2, 1, 3, 2]) {
      await push(revision);
    }
    await reach(second, 3);
    assert.deepEqual(seen, [1, 2, 3]);
    assert.equal(results.getViolationCounts().get('RevisionReverted'), undefined);
  },
);

test('peers that receive but can not answer still get the revision', DEADLINE, async (context) => {
  const fleet = createFleet(context, 2, 3);
  fleet.start();
  await reachAll(fleet, 0);
  fleet.log.goAway();
  const publisher = fleet.daemons.get('daemon-0-0')!;
  fleet.link = (from) => (from === 'daemon-0-0' ? 'answer-lost' : 'open');
  await publisher.keeper.publish(createChange(1));
  await reachAll(fleet, 1);
});

test(
  'a parted region catches up after the partition, also when the changes are no longer kept',
  DEADLINE,
  async (context) => {
    const fleet = createFleet(context, 2, 3);
    fleet.start();
    await reachAll(fleet, 0);
    fleet.log.goAway();
    fleet.link = (from, to) => (from.slice(0, 8) === to.slice(0, 8) ? 'open' : 'request-lost');
    const publisher = fleet.daemons.get('daemon-0-0')!;
    for (let revision = 1; revision <= 300; revision += 1) {
      await publisher.keeper.publish(createChange(revision));
    }
    await reach(fleet.daemons.get('daemon-0-2')!, 300);
    assert.equal(fleet.daemons.get('daemon-1-0')!.keeper.current?.revision, 0);
    const before = publisher.keeper.statusByZone();
    assert.deepEqual(before.zones[1]?.lagging, ['daemon-1-0', 'daemon-1-1', 'daemon-1-2']);
    fleet.link = () => 'open';
    await reachAll(fleet, 300);
    assert.equal(publisher.keeper.statusByZone().zones[1]?.revision, 300);
  },
);

test('a burst of changes becomes few pushes', DEADLINE, async (context) => {
  const fleet = createFleet(context, 1, 2);
  const [first, second] = [...fleet.daemons.values()] as [Daemon, Daemon];
  fleet.start();
  await reachAll(fleet, 0);
  fleet.log.goAway();
  for (let revision = 1; revision <= 50; revision += 1) {
    await first.keeper.publish(createChange(revision, 'a'.repeat(1999)));
  }
  assert.equal(fleet.calls.filter((call) => call.startsWith('daemon-0-0 pushChange')).length, 1);
  await reach(second, 50);
  assert.ok(fleet.calls.filter((call) => call.includes('pushChange')).length < 10);
});
