import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as membership from '@dogwoodstall/membership';
import * as model from '@dogwoodstall/model';
import { FleetView } from '../src/fleet-view.js';

const SERVERS = 30;
const SLOTS = 4;

function createConfiguration(): model.Configuration {
  const operations: model.Operation[] = [
    { action: 'put', kind: 'zone', entity: { name: 'randstad-a', region: 'randstad' } },
  ];
  for (let index = 0; index < SERVERS; index += 1) {
    const entity: model.BackendServer = {
      name: `pot-${index}`,
      service: 'potbeheer',
      address: `127.0.0.1:${9000 + index}`,
      zone: 'randstad-a',
      slots: SLOTS,
      connectionLimit: 390,
      draining: false,
    };
    operations.push({ action: 'put', kind: 'backendServer', entity });
  }
  return model.Configuration.empty().preview(operations);
}

function createMember(name: string, overrides: Partial<membership.Member> = {}): membership.Member {
  return {
    name,
    zone: 'randstad-a',
    region: 'randstad',
    peerAddress: '127.0.0.1:1',
    incarnation: name.length,
    counter: 0,
    state: 'alive',
    condition: 'ready',
    revision: 1,
    keyHomes: [],
    ...overrides,
  };
}

function createView(self: membership.Member, others: readonly membership.Member[]): FleetView {
  const configuration = createConfiguration();
  const everyone = [self, ...others];
  return new FleetView({
    members: {
      self,
      members: () => [...everyone],
      find: (name) => everyone.find((member) => member.name === name),
      findKeyHome: (incarnation) =>
        everyone.find(
          (member) =>
            member.incarnation === incarnation ||
            member.keyHomes.some((home) => home.incarnation === incarnation),
        ),
      isReachable: () => true,
    },
    links: { linkTo: () => ({ dispatcher: {} }) as never },
    findConfiguration: () => configuration,
    activeIncarnations: () => [String(self.incarnation)],
  });
}

function dispatcherOf(view: FleetView, requestId: string): string {
  const [first] = view.planDispatch('potbeheer', requestId);
  return first?.kind === 'peer' ? first.peer.name : 'self';
}

test('two daemons with the same members agree on the dispatcher of each request', () => {
  const members = ['a', 'bb', 'ccc', 'dddd'].map((name) => createMember(name));
  const [a, b, ...rest] = members as [membership.Member, membership.Member, ...membership.Member[]];
  const fromA = createView(a, [b, ...rest]);
  const fromB = createView(b, [a, ...rest]);
  for (let index = 0; index < 100; index += 1) {
    const seenByA = dispatcherOf(fromA, `request-${index}`);
    const seenByB = dispatcherOf(fromB, `request-${index}`);
    assert.equal(seenByA === 'self' ? 'a' : seenByA, seenByB === 'self' ? 'bb' : seenByB);
  }
});

test('the cells of a large service receive requests in proportion to their slots', () => {
  const view = createView(createMember('a'), []);
  const counts = new Map<string, number>();
  const requests = 20_000;
  for (let index = 0; index < requests; index += 1) {
    const cell = view.planDispatch('potbeheer', `request-${index}`)[0]?.cell ?? '';
    counts.set(cell, (counts.get(cell) ?? 0) + 1);
  }
  const cells = model.listCells(createConfiguration(), 'potbeheer', 'randstad');
  assert.ok(cells.length > 1);
  for (const cell of cells) {
    const expected = (requests * cell.slots) / (SERVERS * SLOTS);
    assert.ok(Math.abs((counts.get(cell.name) ?? 0) - expected) < requests * 0.02);
  }
});

test('daemons that are starting, leaving or in another region receive no dispatch work', () => {
  const self = createMember('a');
  const view = createView(self, [
    createMember('bb', { condition: 'starting' }),
    createMember('ccc', { state: 'leaving' }),
    createMember('dddd', { region: 'nordeste' }),
  ]);
  for (let index = 0; index < 50; index += 1) {
    assert.equal(dispatcherOf(view, `request-${index}`), 'self');
  }
});

test('keys of a stopped daemon are located at its successor, and keys of a lost daemon are lost', () => {
  const self = createMember('a');
  const successor = createMember('bb', {
    keyHomes: [{ incarnation: 77, expiresAtEpochMilliseconds: Infinity }],
  });
  const view = createView(self, [successor, createMember('ccc', { incarnation: 99 })]);
  const located = view.locateKeyHome('gone', '77');
  assert.equal(located.kind === 'peer' ? located.peer.name : located.kind, 'bb');
  assert.equal(view.locateKeyHome('ccc', '98').kind, 'lost');
  assert.equal(view.locateKeyHome('a', String(self.incarnation)).kind, 'local');
});

test('keys whose key home this daemon does not know yet are unreachable instead of lost', () => {
  const view = createView(createMember('a'), [createMember('ccc', { incarnation: 99 })]);
  assert.equal(view.locateKeyHome('dddd', '50').kind, 'unreachable');
  // The home was restarted, and its new incarnation is not known here yet.
  assert.equal(view.locateKeyHome('ccc', '100').kind, 'unreachable');
});
