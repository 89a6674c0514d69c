import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { createSlidingWindow, createTokenBucket } from './retry-budget-candidates.js';
import {
  type CreateBudget,
  type FleetEvent,
  VirtualFleet,
  WINDOW_MILLISECONDS,
  createEntryBudget,
} from './retry-budget-fleet.js';

const DAEMONS = 4;
const RUNS = 300;
const SEED = 1;
/** Of a service whose endpoints answer all requests with errors. */
const REQUESTS_PER_SECOND = [1, 3, 10, 30, 100, 400];
/** A tenth of a window. */
const MAXIMUM_DELAY_MILLISECONDS = 1000;

/** Returns evenly distributed numbers from 0 to below 1, the same at each call. */
function* createNumbers(): Generator<number, never> {
  for (let state = 1; ; state = (state * 48_271) % 2_147_483_647) {
    yield state / 2_147_483_647;
  }
}

/** Numbers from 0 to below 1, without the edge cases, which would send all requests to one daemon. */
const randomNumbers = fc.noBias(
  fc.infiniteStream(fc.integer({ min: 0, max: 999 }).map((number) => number / 1000)),
);

const downMilliseconds = fc.constantFrom(200, 700, 1500);

const eventArbitrary: fc.Arbitrary<FleetEvent> = fc.oneof(
  fc.record({
    kind: fc.constant('kill' as const),
    daemon: fc.nat({ max: DAEMONS - 1 }),
    downMilliseconds,
  }),
  fc.record({ kind: fc.constant('kill-all' as const), downMilliseconds }),
  fc.constant({ kind: 'add' as const }),
  fc.record({
    kind: fc.constant('move' as const),
    weights: fc
      .array(fc.constantFrom(0, 1, 10), { minLength: 1, maxLength: DAEMONS })
      .filter((weights) => Math.max(...weights) > 0),
  }),
);

// Guards against a budget that holds only while daemons live, hear each other and keep their callers.
test('the budget of any window holds with kills, restarts, added daemons, moving callers and late arrivals', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ after: fc.integer({ min: 500, max: 8000 }), event: eventArbitrary }), {
        minLength: 1,
        maxLength: 8,
      }),
      fc.constantFrom(...REQUESTS_PER_SECOND),
      fc.constantFrom(1, 2),
      fc.integer({ min: 0, max: MAXIMUM_DELAY_MILLISECONDS }),
      randomNumbers,
      (steps, requestsPerSecond, repeats, delayMilliseconds, numbers) => {
        const random = (): number => numbers.next().value as number;
        const fleet = new VirtualFleet({ daemons: DAEMONS, random, delayMilliseconds });
        fleet.run(2 * WINDOW_MILLISECONDS, requestsPerSecond, 0);
        for (const { after, event } of steps) {
          fleet.run(after, requestsPerSecond, repeats);
          fleet.apply(event);
        }
        fleet.run(WINDOW_MILLISECONDS, requestsPerSecond, repeats);
        const excess = fleet.findWorstExcess();
        assert.ok(excess <= 0, `${excess} retries beyond the budget`);
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
});

// Guards against a part of the fleet that spends the share of requests that the other part receives now.
test('the budget of any window holds while the requests of one daemon move to the other parts of the fleet', () => {
  const numbers = createNumbers();
  const fleet = new VirtualFleet({ daemons: DAEMONS, random: () => numbers.next().value });
  fleet.apply({ kind: 'move', weights: [1, 0, 0, 0] });
  fleet.run(2 * WINDOW_MILLISECONDS, 100, 0);
  fleet.run(500, 100, 2);
  fleet.apply({ kind: 'move', weights: [0, 1, 1, 1] });
  fleet.run(WINDOW_MILLISECONDS, 100, 2);
  assert.ok(fleet.findWorstExcess() <= 0);
});

const FAILURE_MILLISECONDS = 40_000;
const MOVE_MILLISECONDS = 7000;
const RESTART_MILLISECONDS = 4000;
const REPEATS = 2;

/** What happens during a failure, by its name: events that follow each other at an interval. */
const courses: Readonly<Record<string, { interval: number; events: readonly FleetEvent[] }>> = {
  calm: { interval: FAILURE_MILLISECONDS, events: [] },
  'a third of the daemons loses its callers': {
    interval: 1000,
    events: [{ kind: 'move', weights: [1, 1, 0] }],
  },
  'callers move': {
    interval: MOVE_MILLISECONDS,
    events: [
      { kind: 'move', weights: [1, 0, 0] },
      { kind: 'move', weights: [0, 1, 0] },
      { kind: 'move', weights: [0, 0, 1] },
      { kind: 'move', weights: [1, 0, 0] },
    ],
  },
  'all daemons restart every 4 s': {
    interval: RESTART_MILLISECONDS,
    events: Array.from({ length: 9 }, () => ({ kind: 'kill-all', downMilliseconds: 0 })),
  },
};

const services = [
  { name: 'avaliacao', daemons: 36, requestsPerSecond: 132, firstSecond: 0.6 },
  { name: 'arquivo', daemons: 36, requestsPerSecond: 9.3, firstSecond: 0.6 },
  { name: 'avaliacao grown', daemons: 87, requestsPerSecond: 714, firstSecond: 0.6 },
  { name: 'small, grown', daemons: 87, requestsPerSecond: 10, firstSecond: 0.25 },
];

interface Figures {
  readonly excess: number;
  /** Shares of the wanted retries that were granted. */
  readonly firstSecond: number;
  readonly overall: number;
}

function play(
  { daemons, requestsPerSecond }: (typeof services)[number],
  { interval, events }: (typeof courses)[string],
  failedShare: number,
  createBudget: CreateBudget,
): Figures {
  const numbers = createNumbers();
  const random = (): number => numbers.next().value;
  const fleet = new VirtualFleet({ daemons, random, failedShare, createBudget });
  fleet.run(3 * WINDOW_MILLISECONDS, requestsPerSecond, 0);
  fleet.run(1000, requestsPerSecond, REPEATS);
  const firstSecond = fleet.retriesAt.length / fleet.wanted;
  let left = FAILURE_MILLISECONDS;
  for (const event of events) {
    fleet.run(interval, requestsPerSecond, REPEATS);
    left -= interval;
    fleet.apply(event);
  }
  fleet.run(left, requestsPerSecond, REPEATS);
  const overall = fleet.retriesAt.length / fleet.wanted;
  return { excess: fleet.findWorstExcess(), firstSecond, overall };
}

const formatFigures = ({ excess, firstSecond, overall }: Figures): string =>
  `${Math.round(excess)} ${firstSecond.toFixed(2)} ${overall.toFixed(2)}`;

// Guards against a budget that holds because it grants nothing.
test('the budget holds for the services of the users, and the first second of a failure is served', (context) => {
  context.diagnostic('worst excess, share granted in the first second and in all; window; bucket');
  for (const service of services) {
    for (const [name, course] of Object.entries(courses)) {
      for (const failedShare of [1, 0.3]) {
        const figures = play(service, course, failedShare, createEntryBudget);
        const others = [createSlidingWindow, createTokenBucket].map((createBudget) =>
          formatFigures(play(service, course, failedShare, createBudget)),
        );
        const title = `${service.name}, ${name}, ${failedShare} fail`;
        context.diagnostic(`${title}: ${[formatFigures(figures), ...others].join('; ')}`);
        assert.ok(figures.excess <= 0, title);
        assert.ok(figures.firstSecond >= service.firstSecond, `${title}: ${figures.firstSecond}`);
      }
    }
  }
});
