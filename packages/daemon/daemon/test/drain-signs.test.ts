import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as model from '@dogwoodstall/model';
import * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import { DrainSigns } from '../src/drain-signs.js';

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
function createDaemon(name: string, peers: Map<string, DrainSigns>) {
  const state = { now: 0, accepts: true, draining: new Set<string>() };
  const endpoint = { name: server.name };
  const snapshot = () =>
    [{ endpoints: [{ ...endpoint, draining: state.draining.has(server.name) }] }] as never;
  const signs = new DrainSigns({
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
    accepts: async () => state.accepts,
    now: () => state.now,
  });
  peers.set(name, signs);
  return { state, signs };
}

async function scanAt(daemon: ReturnType<typeof createDaemon>, now: number): Promise<void> {
  Object.assign(daemon.state, { now });
  await daemon.signs.scan();
}

test('a drain that one dispatcher saw stops new work at the next dispatcher too', async () => {
  const peers = new Map<string, DrainSigns>();
  const first = createDaemon('first', peers);
  const second = createDaemon('second', peers);
  first.state.draining.add(server.name);
  await scanAt(first, 0);
  assert.ok(second.state.draining.has(server.name));
});

test('a drained server receives work again only after its process was gone and came back', async () => {
  const daemon = createDaemon('only', new Map());
  daemon.state.draining.add(server.name);
  await scanAt(daemon, 0);
  await scanAt(daemon, 3000);
  assert.ok(daemon.state.draining.has(server.name), 'it still runs its last requests');
  daemon.state.accepts = false;
  await scanAt(daemon, 6000);
  daemon.state.accepts = true;
  await scanAt(daemon, 9000);
  assert.ok(!daemon.state.draining.has(server.name));
});

test('a late report of a drain that has ended does not take the new process out of use', async () => {
  const daemon = createDaemon('only', new Map());
  daemon.state.draining.add(server.name);
  await scanAt(daemon, 0);
  daemon.state.accepts = false;
  await scanAt(daemon, 3000);
  daemon.state.accepts = true;
  await scanAt(daemon, 6000);
  const report = { from: 'late', drains: [{ server: server.name, ageMilliseconds: 5900 }] };
  assert.deepEqual(await daemon.signs.handlers.reportDrain(report, { name: 'late' }), {
    accepted: 0,
  });
  assert.ok(!daemon.state.draining.has(server.name));
});
