/**
 * Requests that a daemon without a path to the endpoints sends through another daemon.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { Route } from '@dogwoodstall/traffic';
import type * as gateway from '../src/index.js';
import { classifyRelayedResponse } from '../src/relay.js';
import { TestGateway, formatResponse, testProtocol } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway, type Setup } from './with-gateway.js';

/** Longer than a request, or its cancellation, takes through two daemons. */
const LEAVE_MILLISECONDS = 200;

/** Grants each request the next of the given daemons. */
class PeerSlots implements gateway.SlotSource {
  readonly reports: string[] = [];

  readonly acquisitions: gateway.SlotAcquireOptions[] = [];

  constructor(private readonly addresses: string[]) {}

  acquire(options: gateway.SlotAcquireOptions): Promise<gateway.SlotDecision> {
    this.acquisitions.push(options);
    const address = this.addresses.shift();
    if (address === undefined) {
      return Promise.resolve({ kind: 'refused', reason: 'no-endpoint', retryAfter: 100 });
    }
    return Promise.resolve({
      kind: 'slot',
      slot: {
        endpoint: address,
        address,
        hedgeAfter: undefined,
        maximumIdleMilliseconds: 1000,
        viaPeer: true,
        report: ({ outcome }) => this.reports.push(outcome),
      },
    });
  }
}

async function withRelay(
  scripts: readonly Script[],
  route: Partial<Route>,
  check: (entry: TestGateway, peers: PeerSlots, peer: Setup) => Promise<void>,
): Promise<void> {
  await withGateway(scripts, route, async (peer) => {
    const { address } = peer.gateway;
    const peers = new PeerSlots([address, address, address]);
    const entry = await new TestGateway(peers, route).listen();
    try {
      await check(entry, peers, peer);
    } finally {
      entry.close();
    }
  });
}

const reset: Script = (socket) => socket.resetAndDestroy();
const shed: Script = (socket, request) =>
  socket.write(formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1'));

test('a relayed request reaches the endpoint once, and its response the caller', async () => {
  await withRelay([respondOk], {}, async (entry, peers, { endpoints, slots }) => {
    const response = await entry.send({ body: 'x' });
    assert.equal(response?.body, 'well');
    assert.equal(response?.headers.seal, 's');
    assert.equal(endpoints[0]?.requests.length, 1);
    assert.doesNotMatch(endpoints[0]?.requests[0] ?? '', /dogwoodstall-relay/i);
    assert.equal(slots.acquisitions[0]?.relayed, true);
    assert.deepEqual(peers.reports, ['success']);
  });
});

test('a caller that claims to be a daemon neither limits attempts nor chooses the identity of its request', async () => {
  const route = { idempotent: true, maximumAttempts: 2 };
  await withGateway([reset, respondOk], route, async ({ gateway, slots }) => {
    gateway.rejectRelays();
    const headers = { 'dogwoodstall-relay': '1 repeated f0' };
    assert.equal((await gateway.send({ headers }))?.status, 200);
    const [first, second] = slots.acquisitions;
    assert.equal(first?.repeated, false);
    assert.notEqual(first?.fingerprint, 'f0');
    assert.equal(first?.relayed, true, 'is not relayed further');
    assert.equal(second?.repeated, true);
  });
});

test('a request that may have run behind the other daemon is not sent again', async () => {
  for (const idempotent of [false, true]) {
    await withRelay([reset], { idempotent, maximumAttempts: 1 }, async (entry, _peers, peer) => {
      assert.equal((await entry.send({ body: 'x' }))?.status, 502);
      assert.equal(peer.endpoints[0]?.requests.length, 1);
    });
  }
});

test('the attempts of both daemons together do not exceed those of the route', async () => {
  await withRelay([reset], { idempotent: true, maximumAttempts: 3 }, async (entry, _, peer) => {
    assert.equal((await entry.send())?.status, 502);
    assert.equal(peer.endpoints[0]?.requests.length, 3);
  });
});

test('a request that the other daemon has not run is sent through the next, and refused as not run after the last', async () => {
  await withRelay([respondOk], {}, async (entry, peers, { gateway, endpoints }) => {
    gateway.setRoutesKnown(false);
    const response = await entry.send({ body: 'x' });
    assert.equal(response?.status, 503);
    assert.ok(Number(response?.headers['retry-after']) > 0);
    assert.deepEqual(peers.reports, ['shed', 'shed', 'shed']);
    assert.equal(endpoints[0]?.requests.length, 0);
    assert.equal(entry.retryBudgets.taken, 0, 'nothing has arrived');
  });
});

// Guards against arrivals that endpoints rejected and that no daemon counts.
test('a relayed request that endpoints rejected is repeated as such, and not beyond the attempts of the route', async () => {
  for (const idempotent of [false, true]) {
    await withRelay([shed], { idempotent, maximumAttempts: 2 }, async (entry, peers, peer) => {
      const response = await entry.send({ body: 'x' });
      assert.equal(response?.status, 503, 'not run');
      assert.equal(peer.endpoints[0]?.requests.length, 2);
      const repeats = peers.acquisitions.slice(1).map(({ repeated }) => repeated);
      assert.ok(!repeats.includes(false), 'is not sent as a first attempt again');
      assert.deepEqual(entry.retryBudgets.counted, ['valuation']);
      assert.equal(entry.retryBudgets.taken, 1);
      assert.deepEqual(peer.gateway.retryBudgets.counted, [], 'counted by the entry alone');
      assert.equal(peer.gateway.retryBudgets.taken, 0);
    });
  }
});

// Guards against a request that is counted for one service and arrives at another one.
test('a relayed request goes to the service for which the relaying daemon counts it', async () => {
  const destinations = [
    { service: 'valuation', weight: 1 },
    { service: 'Wert/ä', weight: 1 },
  ];
  for (let count = 0; count < 12; count += 1) {
    await withRelay([respondOk], { destinations }, async (entry, _peers, { slots }) => {
      assert.equal((await entry.send({ body: 'x' }))?.status, 200);
      assert.deepEqual(
        slots.acquisitions.map(({ service }) => service),
        entry.retryBudgets.counted,
      );
    });
  }
});

// Guards against repeats behind another daemon beyond the budget of the daemon that counted the request.
test('a relayed request is not repeated when the retry budget of the relaying daemon is used up', async () => {
  const route = { idempotent: true, maximumAttempts: 3 };
  await withRelay([reset], route, async (entry, _peers, peer) => {
    entry.retryBudgets.allow(0);
    assert.equal((await entry.send())?.status, 502);
    assert.equal(peer.endpoints[0]?.requests.length, 1);
  });
});

// Guards against an older daemon whose word on arrivals is missing.
test('a response that says not run, but not whether the request arrived, counts as an arrival', async () => {
  const headers = { 'dogwoodstall-execution': 'not-run', 'request-id': 'r1' };
  const context = { requestId: 'r1', endpoint: 'peer', remainingMilliseconds: 1 };
  const classify = (more: Record<string, string>): string =>
    classifyRelayedResponse(testProtocol, 503, { ...headers, ...more }, context).kind;
  assert.equal(classify({}), 'not-run');
  assert.equal(classify({ 'dogwoodstall-arrivals': '1' }), 'not-run');
  assert.equal(classify({ 'dogwoodstall-arrivals': '0' }), 'not-arrived');
  assert.equal(classify({ 'dogwoodstall-arrivals': '0', 'request-id': 'r2' }), 'foreign');
});

test('a caller that leaves cancels its request at the endpoint behind the other daemon', async () => {
  const silent: Script = () => {};
  await withRelay([silent], {}, async (entry, _peers, { endpoints }) => {
    const controller = new AbortController();
    const response = entry.send({ body: 'x', signal: controller.signal });
    const endpoint = endpoints[0];
    const waitFor = async (condition: () => boolean): Promise<void> => {
      const until = performance.now() + 1000;
      while (!condition() && performance.now() < until) {
        await new Promise((resolve) => {
          setTimeout(resolve, 10);
        });
      }
      assert.ok(condition());
    };
    await waitFor(() => endpoint?.requests.length === 1);
    controller.abort();
    await response;
    await waitFor(() => endpoint?.sockets.size === 0);
  });
});

// Guards against a slot that another daemon acquires for a caller that has left.
test('a caller that leaves ends the wait for a slot at the other daemon', async () => {
  const signals: AbortSignal[] = [];
  const waitingSlots: gateway.SlotSource = {
    acquire: (_options, signal) => {
      signals.push(signal);
      return new Promise((resolve) => {
        const refuse = (): void =>
          resolve({ kind: 'refused', reason: 'overload', retryAfter: 100 });
        signal.addEventListener('abort', refuse, { once: true });
      });
    },
  };
  const peer = await new TestGateway(waitingSlots).listen();
  const entry = await new TestGateway(new PeerSlots([peer.address])).listen();
  try {
    const controller = new AbortController();
    const response = entry.send({ body: 'x', signal: controller.signal });
    await delay(LEAVE_MILLISECONDS);
    assert.deepEqual(
      signals.map(({ aborted }) => aborted),
      [false],
    );
    controller.abort();
    await response;
    await delay(LEAVE_MILLISECONDS);
    assert.deepEqual(
      signals.map(({ aborted }) => aborted),
      [true],
    );
    assert.equal(peer.server.inFlight, 0);
  } finally {
    entry.close();
    peer.close();
  }
});
