import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { createDemandShare, createFixedShare, createLateCounts } from './usage-candidates.js';
import { type Limiter, type LimiterOptions, UsageFleet, createAgent } from './usage-fleet.js';

const DAEMONS = 5;
const RUNS = Number(process.env.USAGE_RUNS ?? 150);
const SEED = Number(process.env.USAGE_SEED ?? 1);

/** Returns evenly distributed numbers from 0 to below 1. */
function* createNumbers(seed: number): Generator<number, never> {
  for (let state = seed; ; state = (state * 48_271) % 2_147_483_647) {
    yield state / 2_147_483_647;
  }
}

const downMilliseconds = fc.constantFrom(0, 200, 700, 1500, 4000);

/** What happens to a fleet; factors are relative to the limit. */
const eventArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant('kill' as const),
    daemon: fc.nat({ max: DAEMONS - 1 }),
    downMilliseconds,
  }),
  fc.record({ kind: fc.constant('kill-all' as const), downMilliseconds }),
  fc.constant({ kind: 'add' as const }),
  fc.record({
    kind: fc.constant('partition' as const),
    parts: fc.array(fc.nat({ max: 2 }), { minLength: DAEMONS, maxLength: DAEMONS }),
  }),
  fc.constant({ kind: 'heal' as const }),
  fc.record({
    kind: fc.constant('move' as const),
    weights: fc
      .array(fc.constantFrom(0, 1, 10), { minLength: 1, maxLength: DAEMONS })
      .filter((weights) => Math.max(...weights) > 0),
  }),
  fc.record({ kind: fc.constant('limit' as const), factor: fc.constantFrom(0.05, 0.3, 1) }),
  fc.record({ kind: fc.constant('demand' as const), factor: fc.constantFrom(0.1, 1, 8) }),
);

type FleetEvent = typeof eventArbitrary extends fc.Arbitrary<infer Event> ? Event : never;

function apply(fleet: UsageFleet, event: FleetEvent): void {
  const { requestsPerSecond, burst } = fleet.getDemand('a').limit;
  switch (event.kind) {
    case 'kill':
      fleet.kill(event.daemon, event.downMilliseconds);
      return;
    case 'kill-all':
      fleet.killAll(event.downMilliseconds);
      return;
    case 'add':
      fleet.add();
      return;
    case 'partition':
      fleet.partition((index) => event.parts[index % DAEMONS] as number);
      return;
    case 'heal':
      fleet.partition(() => 0);
      return;
    case 'move':
      fleet.move(event.weights);
      return;
    case 'limit':
      fleet.setLimit('a', {
        requestsPerSecond: requestsPerSecond * event.factor,
        burst: burst * event.factor,
      });
      return;
    default:
      fleet.setRate('a', requestsPerSecond * event.factor);
  }
}

// Guards against limits that hold only while daemons live, reach each other and keep their callers.
test('the limit of any window holds with kills, restarts, partitions, added daemons, moving callers, lost messages and lowered limits', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ after: fc.integer({ min: 200, max: 6000 }), event: eventArbitrary }), {
        minLength: 1,
        maxLength: 10,
      }),
      fc.constantFrom(1, 10, 60),
      fc.constantFrom(0, 1, 30),
      fc.constantFrom(0.5, 4),
      fc.constantFrom(0, 0.05, 0.3),
      fc.integer({ min: 1, max: 1_000_000 }),
      (steps, requestsPerSecond, burst, demand, lossShare, seed) => {
        const numbers = createNumbers(seed);
        const random = (): number => numbers.next().value;
        const limit = { requestsPerSecond, burst };
        const organisations = [{ name: 'a', limit, rate: requestsPerSecond * demand }];
        const fleet = new UsageFleet({ daemons: DAEMONS, organisations, random, lossShare });
        fleet.run(3000);
        for (const { after, event } of steps) {
          fleet.run(after);
          apply(fleet, event);
        }
        fleet.run(6000);
        const excess = fleet.findWorstExcess();
        assert.ok(excess <= 0, `${excess} requests beyond the limit`);
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
});

const MACHINES = 128;
const ORGANISATIONS = 85;
const REQUESTS_PER_SECOND = 870;
const ZIPF = 1.2;
/** Limits relative to the usual demand. */
const LIMIT_FACTOR = 1.6;
const HOT_FACTOR = 7.5;

type CreateLimiter = (options: LimiterOptions) => Limiter;

function createUsersFleet(createLimiter: CreateLimiter): UsageFleet {
  const numbers = createNumbers(1);
  const weights = Array.from({ length: ORGANISATIONS }, (_, rank) => (rank + 1) ** -ZIPF);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const organisations = weights.map((weight, rank) => {
    const rate = (REQUESTS_PER_SECOND * weight) / total;
    const limit = { requestsPerSecond: LIMIT_FACTOR * rate, burst: LIMIT_FACTOR * rate };
    return { name: `organisation-${rank + 1}`, limit, rate };
  });
  const random = (): number => numbers.next().value;
  return new UsageFleet({ daemons: MACHINES, organisations, random, createLimiter });
}

/** What happens after some calm seconds. */
const courses: Readonly<Record<string, (fleet: UsageFleet) => void>> = {
  calm: () => {},
  'the largest organisation sends 7.5 times its usual': (fleet) =>
    fleet.setRate('organisation-1', HOT_FACTOR * fleet.getDemand('organisation-1').rate),
  'a small organisation sends 7.5 times its usual': (fleet) =>
    fleet.setRate('organisation-30', HOT_FACTOR * fleet.getDemand('organisation-30').rate),
  'the first daemon of the ranking is killed for 3.5 s': (fleet) => fleet.kill(0, 3500),
  'every sixth daemon reaches no other': (fleet) =>
    fleet.partition((index) => (index % 6 === 5 ? index : 0)),
  'the daemons are split into halves': (fleet) => fleet.partition((index) => index % 2),
  'halves, and the largest organisation sends 7.5 times its usual': (fleet) => {
    fleet.partition((index) => index % 2);
    fleet.setRate('organisation-1', HOT_FACTOR * fleet.getDemand('organisation-1').rate);
  },
  'all daemons restart': (fleet) => fleet.killAll(1000),
  'all limits are lowered to a fifth': (fleet) => {
    for (let rank = 1; rank <= ORGANISATIONS; rank += 1) {
      const { limit } = fleet.getDemand(`organisation-${rank}`);
      fleet.setLimit(`organisation-${rank}`, {
        requestsPerSecond: limit.requestsPerSecond / 5,
        burst: limit.burst / 5,
      });
    }
  },
};

function play(
  course: (fleet: UsageFleet) => void,
  createLimiter: CreateLimiter,
): { excess: number; calm: number; first: number; after: number; messages: number } {
  const fleet = createUsersFleet(createLimiter);
  fleet.run(8000);
  const calm = fleet.beginPeriod();
  fleet.run(8000);
  // Requests that wait when their daemon is killed count for neither period.
  fleet.beginPeriod();
  fleet.run(100);
  course(fleet);
  const first = fleet.beginPeriod();
  fleet.run(1000);
  const after = fleet.beginPeriod();
  fleet.run(9000);
  fleet.beginPeriod();
  fleet.run(2000);
  return {
    excess: fleet.findWorstExcess(),
    calm: calm.refusedShare,
    first: first.refusedShare,
    after: after.refusedShare,
    messages: calm.messages / calm.requests,
  };
}

// Guards against limits that hold because requests below them are refused.
test('requests below the limits are admitted with the demand of users', (context) => {
  context.diagnostic(
    'worst excess, shares refused in calm, in the first second and in the nine after it',
  );
  const designs = { fixed: createFixedShare, demand: createDemandShare, late: createLateCounts };
  for (const [name, course] of Object.entries(courses)) {
    const { excess, calm, first, after, messages } = play(course, createAgent);
    const others = Object.entries(process.env.USAGE_DESIGNS === undefined ? {} : designs).map(
      ([design, createLimiter]) => {
        const other = play(course, createLimiter);
        return `${design} ${other.excess.toFixed(0)} ${other.calm.toFixed(4)} ${other.first.toFixed(3)} ${other.after.toFixed(3)}`;
      },
    );
    const own = `${excess.toFixed(0)} ${calm.toFixed(4)} ${first.toFixed(3)} ${after.toFixed(3)}`;
    context.diagnostic(`${name}: ${[own, ...others].join('; ')}; ${messages.toFixed(2)} messages`);
    assert.ok(excess <= 0, name);
    assert.ok(calm < 0.001, `${name}: ${calm} refused in calm`);
  }
});
