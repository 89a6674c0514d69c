import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as model from '@dogwoodstall/model';
import * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import { DrainTracker } from '../src/drain-tracker.js';

const server: model.BackendServer = {
  name: 'prices-1',
  service: 'prices',
  address: '127.0.0.1:9000',
  zone: 'recife-a',
  slots: 2,
  connectionLimit: 10,
  draining: false,
};

const configuration = model.Configuration.empty().preview([
  { action: 'put', kind: 'backendServer', entity: server },
]);

/** One daemon with a registry that holds a set of draining endpoints. */
function createDaemon(name: string, peers: Map<string, DrainTracker>) {
  const state = { now: 0, accepts: true, draining: new Set<string>() };
  const endpoint = { name: server.name };
  const snapshot = () =>
    [{ endpoints: [{ ...endpoint, draining: state.draining.has(server.name) }] }] as never;
  const tracker = new DrainTracker({
    name,
    registry: {
      snapshot,
      markDraining: (marked) => {
        state.draining.add(marked);
      },
      clearDraining: (cleared) => {
        state.draining.delete(cleared);
      },
    },
    view: {
      listDispatchers: () => [...peers.keys()].map((peer) => ({ name: peer }) as never),
      isReachable: () => true,
    },
    links: {
      linkTo: (target) =>
        ({
          call: async (_name: 'reportDrain', input: peerLink.ProcedureInput<'reportDrain'>) =>
            peers.get(target.name ?? '')?.handlers.reportDrain(input, { name }),
        }) as never,
    },
    findConfiguration: () => configuration,
    logger: observability.createSilentLog().getLogger('dispatch'),
    acceptsConnections: async () => state.accepts,
    now: () => state.now,
  });
  peers.set(name, tracker);
  return { state, tracker };
}

async function scanAt(daemon: ReturnType<typeof createDaemon>, now: number): Promise<void> {
  Object.assign(daemon.state, { now });
  await daemon.tracker.scan();
}

test('a drain that one dispatcher detected also stops new requests at the next dispatcher', async () => {
  const peers = new Map<string, DrainTracker>();
  const first = createDaemon('first', peers);
  const second = createDaemon('second', peers);
  first.state.draining.add(server.name);
  await scanAt(first, 0);
  assert.ok(second.state.draining.has(server.name));
});

test('a drained server receives requests again only after its process ended and restarted', async () => {
  const daemon = createDaemon('only', new Map());
  daemon.state.draining.add(server.name);
  await scanAt(daemon, 0);
  await scanAt(daemon, 3000);
  assert.ok(daemon.state.draining.has(server.name), 'the server still runs its last requests');
  daemon.state.accepts = false;
  await scanAt(daemon, 6000);
  daemon.state.accepts = true;
  await scanAt(daemon, 9000);
  assert.ok(!daemon.state.draining.has(server.name));
});

test('a late report of a drain that has ended does not drain the restarted server', async () => {
  const daemon = createDaemon('only', new Map());
  daemon.state.draining.add(server.name);
  await scanAt(daemon, 0);
  daemon.state.accepts = false;
  await scanAt(daemon, 3000);
  daemon.state.accepts = true;
  await scanAt(daemon, 6000);
  const report = { from: 'late', drains: [{ server: server.name, ageMilliseconds: 5900 }] };
  assert.deepEqual(await daemon.tracker.handlers.reportDrain(report, { name: 'late' }), {
    accepted: 0,
  });
  assert.ok(!daemon.state.draining.has(server.name));
});
