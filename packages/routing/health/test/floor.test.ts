/**
 * Guards the healthy-capacity floor against arbitrary faults and configuration changes, and checks
 * which outcomes lead to an ejection, how long it takes and how an endpoint returns.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BackendServer } from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import fastCheck from 'fast-check';
import { type AttemptOutcome, CellHealth, type HealthChange } from '../src/index.js';

function createServer(index: number, slots: number): BackendServer {
  return {
    name: `server-${index}`,
    service: 'service',
    address: `127.0.0.1:${9000 + index}`,
    zone: 'zone',
    slots,
    connectionLimit: 10,
    draining: false,
  };
}

const baseOutcome = { routeName: 'route', organisation: 'o', milliseconds: 10, draining: false };

const stepArbitrary = fastCheck.record({
  endpoint: fastCheck.nat({ max: 7 }),
  action: fastCheck.constantFrom('refused', 'reset', 'lost', 'drain', 'remove', 'wait', 'success'),
  count: fastCheck.integer({ min: 1, max: 40 }),
});

test('keeps the floor selectable under arbitrary sequences of faults and changes', (context) => {
  const violations: results.Failure[] = [];
  results.setViolationListener((violation) => violations.push(violation));
  context.after(() => results.setViolationListener(undefined));
  const slotsArbitrary = fastCheck.array(fastCheck.integer({ min: 1, max: 4 }), {
    minLength: 8,
    maxLength: 8,
  });
  const floorArbitrary = fastCheck.double({ min: 0, max: 1, noNaN: true });
  const stepsArbitrary = fastCheck.array(stepArbitrary, { maxLength: 60 });
  fastCheck.assert(
    fastCheck.property(slotsArbitrary, floorArbitrary, stepsArbitrary, (slots, floor, steps) => {
      let time = 0;
      let servers = slots.map((count, index) => createServer(index, count));
      const contract = { healthyCapacityFloor: floor, coldStartMilliseconds: 1000 };
      const health = new CellHealth({ servers, contract, now: () => time, random: () => 0.5 });
      for (const { endpoint, action, count } of steps) {
        const name = `server-${endpoint}`;
        if (action === 'lost') {
          health.markLost(name);
        } else if (action === 'drain') {
          servers = servers.map((server) =>
            server.name === name ? { ...server, draining: true } : server,
          );
          health.markDraining(name);
        } else if (action === 'remove') {
          servers = servers.filter((server) => server.name !== name);
          health.updateEndpoints(servers);
        } else if (action === 'wait') {
          time += count * 200;
        } else {
          for (let index = 0; index < count; index += 1) {
            time += 5;
            health.recordOutcome(name, { ...baseOutcome, kind: action });
            servers.forEach((server) =>
              health.recordOutcome(server.name, { ...baseOutcome, kind: 'success' }),
            );
          }
        }
        time += 60;
        health.evaluate();
        const active = servers.filter((server) => !server.draining);
        const total = active.reduce((sum, server) => sum + server.slots, 0);
        const selectable = active
          .filter((server) => health.admissionWeight(server.name) > 0)
          .reduce((sum, server) => sum + server.slots, 0);
        assert.ok(selectable >= total * floor - 1e-6, `${selectable} of ${total}, ${floor}`);
      }
      assert.deepEqual(violations, []);
    }),
    { seed: 20, numRuns: 150 },
  );
});

let time = 0;
const servers = Array.from({ length: 6 }, (_, index) => createServer(index, 2));
const changes: HealthChange[] = [];
const createHealth = (): CellHealth => {
  time = 0;
  changes.length = 0;
  return new CellHealth({
    servers,
    contract: { healthyCapacityFloor: 0.5, coldStartMilliseconds: 5000 },
    now: () => time,
    random: () => 0,
    logDecision: (change) => changes.push(change),
  });
};
const simulateRequests = (
  health: CellHealth,
  milliseconds: number,
  outcomeOf: (name: string) => Partial<AttemptOutcome>,
): void => {
  for (const end = time + milliseconds; time < end; time += 20) {
    for (const { name } of servers) {
      if (health.admissionWeight(name) > 0) {
        health.recordOutcome(name, { ...baseOutcome, kind: 'success', ...outcomeOf(name) });
      }
    }
    health.evaluate();
  }
};
const isFaulty = (name: string): boolean => name === 'server-2';
const failFaulty = (name: string): Partial<AttemptOutcome> => ({
  kind: isFaulty(name) ? 'server-error' : 'success',
});

test('ejects an endpoint that fails requests although its health checks pass', () => {
  const health = createHealth();
  simulateRequests(health, 3000, (name) => {
    health.recordProbe(name, true);
    return failFaulty(name);
  });
  assert.equal(changes[0]?.kind, 'ejected');
  assert.equal(changes[0]?.endpointName, 'server-2');
});

test('does not eject an endpoint for timeouts of requests that spent their deadline in the queue', () => {
  const health = createHealth();
  simulateRequests(health, 3000, () => ({}));
  simulateRequests(health, 3000, (name) =>
    isFaulty(name) ? { kind: 'timeout', milliseconds: 8 } : { kind: 'success' },
  );
  assert.deepEqual(changes, []);
});

test('lengthens repeated ejections of an endpoint, and returns it to full weight once it recovers', () => {
  const health = createHealth();
  simulateRequests(health, 20_000, failFaulty);
  const ejected = changes.filter(({ kind }) => kind === 'ejected');
  const lengths = ejected.map(({ at, until }) => until - at);
  assert.deepEqual(lengths.slice(0, 2), [3000, 6000]);
  simulateRequests(health, 40_000, () => ({}));
  assert.equal(changes.at(-1)?.kind, 'returned');
  assert.equal(health.admissionWeight('server-2'), 1);
});

test('publishes ejections on the stream', async () => {
  const health = createHealth();
  const seen: HealthChange[] = [];
  const done = health.changes.take(1).observe((change) => seen.push(change));
  await new Promise(setImmediate);
  health.markLost('server-1');
  await done;
  assert.equal(seen[0]?.endpointName, 'server-1');
});
