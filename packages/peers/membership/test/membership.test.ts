import * as assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import * as membership from '../src/index.js';
import { Network, hasMembers, waitUntil } from './network.js';

const DEADLINE = { timeout: 20_000 };
// In a fleet of 810 daemons every message carries as many revisions as allowed.
const MAXIMUM_REVISION_BYTES = 500;
const SEEDS = ['127.0.0.1:1'];

function startNetwork(
  context: TestContext,
  names: readonly string[],
): { network: Network; nodes: membership.Membership[] } {
  const network = new Network();
  context.after(() => network.stop());
  const nodes = names.map((name) => network.add(name, { seeds: SEEDS }));
  nodes.forEach((node) => node.start());
  return { network, nodes };
}

async function waitForMembers(
  nodes: readonly membership.Membership[],
  names: readonly string[],
): Promise<void> {
  await waitUntil(() => nodes.every((node) => hasMembers(node, names)));
}

test(
  'members discover each other from one seed, and a crashed member is failed everywhere',
  DEADLINE,
  async (context) => {
    const names = ['a1', 'a2', 'b1', 'b2', 'c1'];
    const { network, nodes } = startNetwork(context, names);
    await waitForMembers(nodes, names);
    await network.crash(nodes[4]!);
    await waitForMembers(nodes.slice(0, 4), names.slice(0, 4));
  },
);

test(
  'a member that only one other cannot reach stays a member and is unreachable from there',
  DEADLINE,
  async (context) => {
    const names = ['a1', 'a2', 'b1', 'b2'];
    const { network, nodes } = startNetwork(context, names);
    await waitForMembers(nodes, names);
    const [first, second] = nodes as [membership.Membership, membership.Membership];
    network.isOpen = (from, to) => !(from === 'a1' && to === 'a2');
    await waitUntil(() => !first.isReachable('a2'));
    const { counter } = second.self;
    const before = network.calls.length;
    await waitUntil(() => network.calls.length > before + 200);
    assert.ok(nodes.every((node) => hasMembers(node, names)));
    assert.equal(second.self.counter, counter, 'it was never suspected');
    assert.equal(second.isReachable('a1'), false, 'responses of a1 are lost as well');
    network.isOpen = undefined;
    await waitUntil(() => first.isReachable('a2'));
  },
);

test(
  'a suspected member that responds refutes with an incremented counter',
  DEADLINE,
  async (context) => {
    const names = ['a1', 'a2', 'b1'];
    const { nodes } = startNetwork(context, names);
    await waitForMembers(nodes, names);
    const [first, second, third] = nodes as [
      membership.Membership,
      membership.Membership,
      membership.Membership,
    ];
    const suspicion = { ...second.self, state: 'suspect' as const };
    await first.handlers.probe(
      { from: third.self, updates: [suspicion], doubts: [], revisions: [], join: false },
      { name: 'b1' },
    );
    assert.equal(first.find('a2')?.state, 'suspect');
    await waitUntil(() => first.find('a2')?.state === 'alive');
    assert.ok(second.self.counter > suspicion.counter);
  },
);

test('two partitions that declared each other failed merge again', DEADLINE, async (context) => {
  const names = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3'];
  const { network, nodes } = startNetwork(context, names);
  await waitForMembers(nodes, names);
  network.isOpen = (from, to) => from[0] === to[0];
  await waitForMembers(nodes.slice(0, 3), ['a1', 'a2', 'a3']);
  await waitForMembers(nodes.slice(3), ['b1', 'b2', 'b3']);
  network.isOpen = undefined;
  await waitForMembers(nodes, names);
});

test(
  'leaving is known before the member stops, and its key records are found at the new home',
  DEADLINE,
  async (context) => {
    const names = ['a1', 'a2', 'b1'];
    const { network, nodes } = startNetwork(context, names);
    await waitForMembers(nodes, names);
    const [first, second, third] = nodes as [
      membership.Membership,
      membership.Membership,
      membership.Membership,
    ];
    const { incarnation } = first.self;
    await first.leave();
    second.announceKeyHome(incarnation, Date.now() + 60_000);
    await waitUntil(() => third.find('a1')?.state === 'leaving');
    await network.crash(first);
    await waitUntil(() => hasMembers(third, ['a2', 'b1']));
    await waitUntil(() => third.findKeyHome(incarnation)?.name === 'a2');
  },
);

test(
  'a restarted member has a new incarnation and replaces its predecessor',
  DEADLINE,
  async (context) => {
    const names = ['a1', 'a2'];
    const { network, nodes } = startNetwork(context, names);
    await waitForMembers(nodes, names);
    const [first, old] = nodes as [membership.Membership, membership.Membership];
    await network.crash(old);
    const { peerAddress, incarnation } = old.self;
    const replacement = network.add('a2', { seeds: SEEDS, peerAddress });
    assert.ok(replacement.self.incarnation > incarnation);
    replacement.start();
    await waitUntil(() => first.find('a2')?.incarnation === replacement.self.incarnation);
  },
);

test(
  'members start from a list with dead VMs, and the list marks as leaving but never removes',
  DEADLINE,
  async (context) => {
    const network = new Network();
    context.after(() => network.stop());
    const vms: membership.ListedVm[] = ['127.0.0.1:900', '127.0.0.1:901'].map(
      (peerAddress, index) => ({ name: `dead-${index}`, zone: 'a', peerAddress, state: 'live' }),
    );
    const first = network.add('a1');
    vms.push({ ...first.self, state: 'live' });
    const second = network.add('a2', { listedVms: () => vms });
    first.start();
    second.start();
    await waitUntil(() => hasMembers(first, ['a1', 'a2']) && hasMembers(second, ['a1', 'a2']));
    vms[2] = { ...vms[2]!, state: 'leaving' };
    assert.equal(second.members()[1]?.state, 'leaving');
    vms.length = 0;
    const before = network.calls.length;
    await waitUntil(() => network.calls.length > before + 50);
    assert.ok(hasMembers(second, ['a1', 'a2']));
  },
);

test(
  'a revision reaches all members, and each message stays within its limits',
  DEADLINE,
  async (context) => {
    const names = Array.from({ length: 40 }, (_, index) => `a${index}`);
    const { network, nodes } = startNetwork(context, names);
    await waitForMembers(nodes, names);
    nodes.forEach((node) => node.announceRevision(9));
    await waitUntil(() => nodes.every((node) => node.members().every((one) => one.revision === 9)));
    for (const { input } of network.calls) {
      const { updates, doubts, revisions } = input as membership.Gossip;
      const digests = revisions.flatMap(([, group]) => group);
      assert.ok(updates.length + doubts.length <= 9 && digests.length <= 32);
      assert.ok(
        JSON.stringify(revisions).length <= MAXIMUM_REVISION_BYTES,
        'revisions exceed their share of a message',
      );
    }
  },
);

test('a failed call of the request path triggers an immediate probe', DEADLINE, async (context) => {
  const network = new Network();
  context.after(() => network.stop());
  const slow = { probeInterval: 60_000, probeTimeout: 100, indirectTimeout: 100, suspicion: 50 };
  const first = network.add('a1', { timings: { ...slow, listedRetry: 10, failedRetry: 60_000 } });
  const second = network.add('a2', { seeds: [first.self.peerAddress], timings: slow });
  first.start();
  second.start();
  await waitUntil(() => hasMembers(first, ['a1', 'a2']));
  await network.crash(second);
  first.reportUnreachable('a2');
  assert.equal(first.isReachable('a2'), false);
  await waitUntil(() => first.find('a2')?.state === 'failed');
});

test(
  'gossip under a name that differs from the certificate is rejected',
  DEADLINE,
  async (context) => {
    const { nodes } = startNetwork(context, ['a1', 'a2']);
    const [first, second] = nodes as [membership.Membership, membership.Membership];
    const input = { from: second.self, updates: [], doubts: [], revisions: [], join: false };
    await assert.rejects(first.handlers.probe(input, { name: 'a3' }));
  },
);

test('two regions of many members merge again after a partition', DEADLINE, async (context) => {
  const names = Array.from({ length: 42 }, (_, index) => `${index % 2 === 0 ? 'a' : 'b'}${index}`);
  const { network, nodes } = startNetwork(context, names);
  await waitForMembers(nodes, names);
  network.isOpen = (from, to) => from[0] === to[0];
  for (const region of ['a', 'b']) {
    const own = names.filter((name) => name.startsWith(region));
    const inside = nodes.filter((node) => own.includes(node.self.name));
    await waitForMembers(inside, own);
  }
  network.isOpen = undefined;
  await waitForMembers(nodes, names);
});

test(
  'a member that is leaving only in the list of VMs appears in the stream of changes',
  DEADLINE,
  async (context) => {
    const network = new Network();
    context.after(() => network.stop());
    const vms: membership.ListedVm[] = [];
    const first = network.add('a1', { seeds: SEEDS, listedVms: () => vms });
    const second = network.add('a2', { seeds: SEEDS });
    first.start();
    second.start();
    await waitUntil(() => hasMembers(first, ['a1', 'a2']));
    const states: (string | undefined)[] = [];
    const recordState = (members: readonly membership.Member[]): void => {
      states.push(members.find(({ name }) => name === 'a2')?.state);
    };
    first.changes.forEach(recordState).catch(assert.fail);
    vms.push({ ...second.self, state: 'leaving' });
    await waitUntil(() => states.at(-1) === 'leaving');
    vms.length = 0;
    await waitUntil(() => states.at(-1) === 'alive');
  },
);

test(
  'each message reports the revision of its sender, so that a full gossip list cannot delay it',
  DEADLINE,
  async (context) => {
    const network = new Network();
    context.after(() => network.stop());
    const received = new Map<string, number>();
    const onMemberUpdate = ({ name, revision }: membership.Member): void => {
      received.set(name, revision);
    };
    const first = network.add('a1', { seeds: SEEDS, onMemberUpdate });
    const second = network.add('a2', { seeds: SEEDS });
    first.start();
    second.start();
    second.announceRevision(5);
    await waitUntil(() => received.get('a2') === 5);
    const late: membership.Member = { ...second.self, name: 'a3', revision: 6 };
    const gossip = { updates: [], doubts: [], revisions: [], join: false };
    await first.handlers.probe({ ...gossip, from: late }, { name: 'a3' });
    assert.equal(received.get('a3'), 6);
  },
);

test('a revision of an earlier incarnation does not apply to the current one', async () => {
  const network = new Network();
  const first = network.add('a1');
  const old: membership.Member = { ...first.self, name: 'a2', revision: 0 };
  const digest = membership.digestMember(old);
  const gossip = { updates: [], doubts: [], join: false };
  const fresh = { ...old, incarnation: old.incarnation + 1 };
  await first.handlers.probe({ ...gossip, from: old, revisions: [] }, { name: 'a2' });
  await first.handlers.probe(
    { ...gossip, from: fresh, revisions: [[9, [digest]]] },
    { name: 'a2' },
  );
  assert.equal(first.find('a2')?.revision, 0);
  const current = membership.digestMember(fresh);
  await first.handlers.probe(
    { ...gossip, from: fresh, revisions: [[9, [current]]] },
    { name: 'a2' },
  );
  assert.equal(first.find('a2')?.revision, 9);
});

test('a failed member is gossiped without the data that every member has', async () => {
  const network = new Network();
  const first = network.add('a1');
  const lost: membership.Member = { ...first.self, name: 'a2' };
  const table = new membership.MemberTable(first.self, () => {});
  const receiver = new membership.MemberTable({ ...first.self, name: 'a3' }, () => {});
  table.merge(lost);
  receiver.merge(lost);
  table.merge({ ...lost, state: 'failed' });
  const gossip = table.takeGossip('a3');
  assert.deepEqual(gossip.updates, []);
  receiver.mergeGossip(gossip);
  assert.equal(receiver.find('a2')?.state, 'failed');
});

test('a suspicion of an earlier incarnation does not apply to the current one', async () => {
  const network = new Network();
  const { self } = network.add('a1');
  const old: membership.Member = { ...self, name: 'a2' };
  const table = new membership.MemberTable(self, () => {});
  table.merge({ ...old, incarnation: old.incarnation + 1 });
  const doubts: [number, number, 'failed'][] = [[membership.digestMember(old), 9, 'failed']];
  table.mergeGossip({ from: old, updates: [], doubts, revisions: [] });
  assert.equal(table.find('a2')?.state, 'alive');
});
