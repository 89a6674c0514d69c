import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { createChange, Fleet, MemoryLog, reach, reachAll } from './fleet.js';

const DEADLINE = { timeout: 20_000 };

function createFleet(zones: number, perZone: number): Fleet {
  const fleet = new Fleet();
  for (let zone = 0; zone < zones; zone += 1) {
    for (let index = 0; index < perZone; index += 1) {
      fleet.add(`daemon-${zone}-${index}`, `zone-${zone}`);
    }
  }
  return fleet;
}

test('a commit reaches daemons that do not watch the store, in every zone', DEADLINE, async () => {
  const fleet = createFleet(3, 6);
  fleet.start();
  await reachAll(fleet, 0);
  while (fleet.log.readers < 6) {
    await new Promise(setImmediate);
  }
  fleet.log.commit();
  await reachAll(fleet, 1);
  assert.equal(fleet.log.readers, 6);
  await fleet.stop();
});

test(
  'a change committed by one daemon spreads while no daemon can watch the store',
  DEADLINE,
  async () => {
    const fleet = createFleet(3, 4);
    fleet.start();
    await reachAll(fleet, 0);
    fleet.log.goAway();
    const publisher = fleet.daemons.get('daemon-0-0')!;
    await publisher.keeper.publish(createChange(1));
    await reachAll(fleet, 1);
    await fleet.stop();
  },
);

test(
  'without the store a daemon starts from the majority of its zone, and not from fewer',
  DEADLINE,
  async () => {
    const fleet = createFleet(1, 4);
    fleet.log.commit();
    fleet.start();
    await reachAll(fleet, 1);
    const away = new MemoryLog();
    away.away = true;
    const late = fleet.add('daemon-late', 'zone-0', away);
    fleet.link = (from, to) =>
      from === 'daemon-late' && to !== 'daemon-0-0' ? 'request-lost' : 'open';
    late.keeper.start();
    while (late.keeper.lastStartFailure === undefined) {
      await new Promise(setImmediate);
    }
    assert.equal(late.keeper.lastStartFailure.kind, 'PeerLacksConfiguration');
    assert.equal(late.keeper.current, undefined);
    fleet.link = () => 'open';
    await reach(late, 1);
    await fleet.stop();
  },
);
