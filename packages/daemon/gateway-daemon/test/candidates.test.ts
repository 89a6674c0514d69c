/**
 * Failure detection of dispatchers in a large fleet, in virtual time and without a network.
 *
 * Pattern: hundreds of entry daemons in front of some strong ones that dispatch many cells. If each entry pings the
 * candidates of every cell, dispatchers spend their processors and links on pings.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as datagrams from '@dogwoodstall/datagrams';
import type * as grants from '@dogwoodstall/grants';
import { Candidates } from '../src/candidates.js';
import { type Member, MemberTable, STORE_WATCHER_ROLE } from '../src/member.js';

const ZONES = ['a', 'b', 'c', 'd', 'e'];
const DAEMONS_PER_ZONE = 59;
const STRONG_PER_ZONE = 3;
const TICK_MILLISECONDS = 150;
const CALM_SECONDS = 10;
/** IP and UDP headers of a datagram. */
const HEADER_BYTES = 28;
/** Bound of the users for the control traffic of one daemon. */
const CONTROL_BYTES_PER_SECOND = 19_000;

const cells: grants.Cell[] = ZONES.flatMap((zone) =>
  [0, 1].map((index) => ({
    name: `valuation@${zone}#${index}`,
    service: 'valuation',
    zone,
    endpoints: [],
  })),
);
cells.push({ name: 'archive', service: 'archive', zone: undefined, endpoints: [] });

function createMember(zone: string, index: number): Member {
  return {
    name: `front-${zone}-${index}`,
    zone,
    host: `10.0.${ZONES.indexOf(zone)}.${index}`,
    datagramPort: 7720,
    peerAddress: `10.0.${ZONES.indexOf(zone)}.${index}:8166`,
    cores: index < STRONG_PER_ZONE ? 1.35 : 0.27,
    startedAt: 1,
  };
}

const members = ZONES.flatMap((zone) =>
  Array.from({ length: DAEMONS_PER_ZONE }, (_, index) => createMember(zone, index)),
);

class SimulatedFleet {
  now = 0;

  readonly dead = new Set<string>();

  /** Whether the daemons know enough to dispatch. */
  settled = true;

  readonly receivedBytes = new Map<string, number>();

  readonly pingsBySender = new Map<string, number>();

  readonly candidatesByName = new Map<string, Candidates>();

  readonly ranking: (role: grants.Cell) => readonly Member[];

  constructor() {
    const table = SimulatedFleet.createTable(members[0] as Member);
    this.ranking = (role) => table.rank(role);
    for (const member of members) {
      this.candidatesByName.set(member.name, this.createCandidates(member));
    }
  }

  private static createTable(self: Member): MemberTable {
    const table = new MemberTable(self);
    for (const member of members) {
      table.add(member);
    }
    return table;
  }

  private createCandidates(self: Member): Candidates {
    return new Candidates({
      members: SimulatedFleet.createTable(self),
      listCells: () => cells,
      isSelfUsable: () => this.settled,
      getVersions: () => ({ configurationVersion: 12, directoryRevision: 34_567 }),
      send: (message, { name }) => this.deliver(message, self.name, name),
      onChange: () => {},
      now: () => this.now,
    });
  }

  private deliver(message: datagrams.Message, from: string, to: string): void {
    this.countBytes(to, message);
    if (message[0] !== 'ping') {
      return;
    }
    this.pingsBySender.set(from, (this.pingsBySender.get(from) ?? 0) + 1);
    if (this.dead.has(to)) {
      return;
    }
    const pong: datagrams.Pong = {
      sequence: message[1].sequence,
      stopping: false,
      settled: this.settled,
      configurationVersion: 12,
      directoryRevision: 34_567,
      storeAge: 250,
      memberDigest: '3v1k8xq9zc2w',
      cells: [],
      drains: [],
    };
    this.countBytes(from, ['pong', pong]);
    this.candidatesByName.get(from)?.receivePong(to, pong);
  }

  private countBytes(name: string, message: datagrams.Message): void {
    const bytes = datagrams.encodeMessage(message).length + HEADER_BYTES;
    this.receivedBytes.set(name, (this.receivedBytes.get(name) ?? 0) + bytes);
  }

  advance(seconds: number): void {
    const end = this.now + seconds * 1000;
    while (this.now < end) {
      this.now += TICK_MILLISECONDS;
      for (const [name, candidates] of this.candidatesByName) {
        if (!this.dead.has(name)) {
          candidates.tick();
        }
      }
    }
  }
}

test('control traffic of every daemon of a large fleet stays within its bound', () => {
  const fleet = new SimulatedFleet();
  fleet.advance(2);
  fleet.receivedBytes.clear();
  fleet.advance(CALM_SECONDS);
  const busiest = Math.max(...fleet.receivedBytes.values()) / CALM_SECONDS;
  assert.ok(busiest <= CONTROL_BYTES_PER_SECOND, `${Math.round(busiest)} bytes/s`);
});

test('an entry daemon uses the first dispatcher of a cell that it does not monitor, and the next one after a failure', () => {
  const fleet = new SimulatedFleet();
  fleet.advance(2);
  const cell = cells[0] as grants.Cell;
  const [first, second] = fleet.ranking(cell) as [Member, Member];
  const entry = fleet.candidatesByName.get('front-e-40') as Candidates;
  assert.equal(entry.isMonitored(cell), false);
  assert.equal(entry.choose(cell, new Set()).name, first.name);
  fleet.dead.add(first.name);
  entry.markUnresponsive(first.name);
  assert.equal(entry.choose(cell, new Set()).name, second.name);
  fleet.advance(3);
  assert.equal(entry.choose(cell, new Set()).name, second.name, 'the first does not respond');
  fleet.dead.delete(first.name);
  fleet.advance(3);
  assert.equal(entry.choose(cell, new Set()).name, first.name, 'the first responds again');
});

test('mass-restart: a daemon that no other one has answered yet dispatches its requests itself', () => {
  const fleet = new SimulatedFleet();
  const self = 'front-e-40';
  for (const { name } of members) {
    if (name !== self) {
      fleet.dead.add(name);
    }
  }
  fleet.advance(0.6);
  const entry = fleet.candidatesByName.get(self) as Candidates;
  for (const cell of cells) {
    assert.equal(entry.choose(cell, new Set()).name, self, cell.name);
  }
});

test('mass-restart: daemons that start together ping a part of the fleet each until they can dispatch', () => {
  const fleet = new SimulatedFleet();
  fleet.settled = false;
  fleet.advance(0.45);
  const most = Math.max(...fleet.pingsBySender.values());
  assert.ok(most <= members.length / 4, `a daemon sent ${most} pings`);
});

test('mass-restart: daemons find the dispatchers when nine of ten others are lost', () => {
  const fleet = new SimulatedFleet();
  for (const [index, { name }] of members.entries()) {
    if (index % 10 !== 0) {
      fleet.dead.add(name);
    }
  }
  fleet.advance(3);
  for (const cell of cells) {
    const alive = fleet.ranking(cell).filter(({ name }) => !fleet.dead.has(name));
    const first = alive[0]?.name;
    for (const { name } of alive) {
      const candidates = fleet.candidatesByName.get(name) as Candidates;
      if (candidates.isMonitored(cell)) {
        assert.equal(candidates.choose(cell, new Set()).name, first, `${cell.name} of ${name}`);
      }
    }
  }
});

test('the standby of a cell and of the store watch notices without slot requests that it has to take over', () => {
  const fleet = new SimulatedFleet();
  fleet.advance(2);
  for (const role of [...cells, { ...STORE_WATCHER_ROLE, service: '', endpoints: [] }]) {
    const [first, second, third] = fleet.ranking(role) as [Member, Member, Member];
    fleet.dead.add(first.name).add(second.name);
    fleet.advance(1.5);
    const isLeading = fleet.candidatesByName.get(third.name)?.isSelfLeading(role);
    assert.equal(isLeading, true, role.name);
    fleet.dead.clear();
    fleet.advance(3);
  }
});
