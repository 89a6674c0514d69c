/**
 * Which requests are hedged, and what hedges do under load, in virtual time: 12 endpoints of 4 slots, mean service time
 * 100 ms, target 1 s.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import * as gateway from '../src/index.js';
import { HedgeLimit, MAXIMUM_SAVED_HEDGES } from '../src/hedge-limit.js';
import { VirtualHedging, type VirtualHedgingOptions, virtualRoute } from './virtual-hedging.js';

const settings: gateway.HedgingSettings = {
  share: 0.05,
  quantile: 0.95,
  maximumLoad: 0.8,
  reserve: 0.5,
};
/** The same requests without any hedge. */
const noHedges = { ...settings, share: 0 };
const RUN_MILLISECONDS = 20_000;
/** Dispatchers avoid the endpoints most of the time, so that few requests hang. */
const GRAY_MILLISECONDS = 60_000;
/** The queue of a full cell is at its longest after a second. */
const CREST_MILLISECONDS = 6000;
const CALM = 100;
/** More than the endpoints can process. */
const CREST = 600;
const DEADLINE = 4000;

function serveEvenly(_endpoint: string, random: () => number): number {
  return 50 - Math.log(1 - random()) * 50;
}

function serveWithTail(endpoint: string, random: () => number): number {
  return serveEvenly(endpoint, random) * (random() < 0.01 ? 5 : 1);
}

/** Two endpoints answer three of ten requests never. */
function serveInGrayFailure(endpoint: string, random: () => number): number {
  const hangs = ['endpoint-0', 'endpoint-1'].includes(endpoint) && random() < 0.3;
  return hangs ? Infinity : serveEvenly(endpoint, random);
}

function run(
  options: Partial<VirtualHedgingOptions>,
  milliseconds = RUN_MILLISECONDS,
): VirtualHedging {
  const virtual = new VirtualHedging({
    settings,
    requestsPerSecond: CALM,
    serve: serveEvenly,
    ...options,
  });
  virtual.run(milliseconds);
  return virtual;
}

function listHedges({ requests }: VirtualHedging) {
  return requests.flatMap(({ attempts }) => attempts).filter(({ isHedge }) => isHedge);
}

function computeQuantile({ requests }: VirtualHedging, share: number): number {
  const times = requests.map(({ milliseconds }) => Math.min(milliseconds, DEADLINE));
  times.sort((left, right) => left - right);
  return times[Math.floor(times.length * share)] as number;
}

function createHedging(
  current: () => gateway.HedgingSettings | undefined,
  events: gateway.HedgeEvent[] = [],
): gateway.Hedging {
  return new gateway.Hedging({
    settings: current,
    onDecision: ({ event }) => events.push(event),
    now: () => 0,
  });
}

const hasReserve = { hasReserve: () => true };
const request = { route: virtualRoute, service: 'catalogue' };

test('slow tail: hedges shorten the slowest of 1% of requests that take five times as long', () => {
  const without = run({ serve: serveWithTail, settings: noHedges });
  const hedged = run({ serve: serveWithTail });
  assert.equal(listHedges(without).length, 0);
  assert.ok(computeQuantile(hedged, 0.999) < 0.75 * computeQuantile(without, 0.999));
  assert.ok(computeQuantile(hedged, 0.99) < computeQuantile(without, 0.99));
  assert.ok(hedged.events.includes('won'));
});

test('gray failure: requests that their endpoint never answers are answered by another one', () => {
  const countUnanswered = ({ requests }: VirtualHedging): number =>
    requests.filter(({ milliseconds }) => milliseconds === Infinity).length;
  const options = { serve: serveInGrayFailure };
  const without = countUnanswered(run({ ...options, settings: noHedges }, GRAY_MILLISECONDS));
  const hedged = countUnanswered(run(options, GRAY_MILLISECONDS));
  assert.ok(without >= 10, `${without} without hedges`);
  assert.ok(hedged <= without / 3, `${hedged} with hedges, ${without} without`);
});

// Guards against hedges that take slots from requests that have had none.
test('full cell: no hedge is sent above the maximum load or while a request waits, and none is waited for', () => {
  for (const requestsPerSecond of [CALM, 250, 400, CREST]) {
    const hedged = run({ requestsPerSecond, serve: serveWithTail }, CREST_MILLISECONDS);
    for (const { load, hadWaiters } of listHedges(hedged)) {
      assert.ok(load <= settings.maximumLoad);
      assert.ok(!hadWaiters);
    }
  }
});

test('full cell: at the crest hedges neither refuse nor delay the requests of others', () => {
  const options = { requestsPerSecond: CREST, serve: serveWithTail };
  const without = run({ ...options, settings: noHedges }, CREST_MILLISECONDS);
  const hedged = run(options, CREST_MILLISECONDS);
  const countRefused = ({ requests }: VirtualHedging): number =>
    requests.filter(({ refused }) => refused).length;
  assert.ok(hedged.events.includes('refused-load'));
  assert.ok(listHedges(hedged).length <= 0.002 * hedged.requests.length);
  assert.ok(countRefused(hedged) <= 1.01 * countRefused(without));
});

test('at most maximumAttempts attempts are made, and the attempt that is not answered first is cancelled', () => {
  const hedged = run({ serve: serveWithTail });
  for (const { attempts, milliseconds } of hedged.requests) {
    assert.ok(attempts.length <= virtualRoute.maximumAttempts);
    const answered = attempts.filter(({ outcome }) => outcome === 'answered');
    const cancelled = attempts.filter(({ outcome }) => outcome === 'cancelled');
    assert.equal(answered.length, milliseconds < Infinity ? 1 : 0);
    assert.equal(cancelled.length, attempts.length - answered.length);
  }
  const single = run({ serve: serveWithTail, route: { maximumAttempts: 1 } });
  assert.equal(listHedges(single).length, 0);
});

test('a request that must not run twice is never hedged, whatever the settings are', () => {
  const options = { serve: serveInGrayFailure, route: { idempotent: false } };
  for (const current of [undefined, settings, { ...settings, share: 0.2, quantile: 0.5 }]) {
    assert.equal(listHedges(run({ ...options, settings: current })).length, 0);
  }
  const hedging = createHedging(() => undefined);
  const route = { ...virtualRoute, idempotent: false };
  assert.equal(hedging.getDelay(route, 100), undefined);
  assert.equal(hedging.tryBegin({ route, service: 'catalogue' }, hasReserve), undefined);
});

test('in every window, hedges are limited to the share of its requests and what may be saved', () => {
  const step = fc.oneof(
    fc.constant('request' as const),
    fc.constant('hedge' as const),
    fc.constant('give-back' as const),
  );
  fc.assert(
    fc.property(
      fc.array(step, { maxLength: 300 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      (steps, share) => {
        const limit = new HedgeLimit();
        /** Requests and hedges that were not given back, by position. */
        const sent: ('request' | 'hedge')[] = [];
        for (const kind of steps) {
          if (kind === 'request') {
            limit.countRequest(share);
            sent.push('request');
          } else if (kind === 'hedge' && limit.tryTake()) {
            sent.push('hedge');
          } else if (kind === 'give-back' && sent.at(-1) === 'hedge') {
            // A hedge is given back before it is sent.
            limit.giveBack();
            sent.pop();
          }
        }
        for (let from = 0; from < sent.length; from += 1) {
          let allowed = MAXIMUM_SAVED_HEDGES;
          for (const kind of sent.slice(from)) {
            allowed += kind === 'request' ? share : -1;
            assert.ok(allowed > -1e-9);
          }
        }
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

test('in every window of 5 s, the entry daemons together keep to the share, in a gray failure, too', () => {
  const windowMilliseconds = 5000;
  const entries = 4;
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.constantFrom(0, 0.01, 0.05, 0.2),
      fc.constantFrom(20, CALM),
      (seed, share, requestsPerSecond) => {
        const virtual = new VirtualHedging({
          settings: { ...settings, share, quantile: 0.5 },
          requestsPerSecond,
          serve: serveInGrayFailure,
          seed,
          entries,
        });
        virtual.run(windowMilliseconds * 2);
        const hedgeTimes = listHedges(virtual).map(({ startedAt }) => startedAt);
        for (const from of hedgeTimes) {
          const isInWindow = (at: number): boolean => at >= from && at < from + windowMilliseconds;
          const hedges = hedgeTimes.filter(isInWindow).length;
          const requests = virtual.requests.filter(({ startedAt }) => isInWindow(startedAt)).length;
          assert.ok(hedges <= share * requests + entries * MAXIMUM_SAVED_HEDGES);
        }
      },
    ),
    { seed: 1, numRuns: 12 },
  );
});

test('a hedge that was not sent counts neither against the share nor as started', () => {
  const events: gateway.HedgeEvent[] = [];
  const hedging = createHedging(() => settings, events);
  for (let count = 0; count < MAXIMUM_SAVED_HEDGES; count += 1) {
    hedging.tryBegin(request, hasReserve)?.refuse('overload');
    hedging.tryBegin(request, hasReserve)?.refuse('not-needed');
    hedging.tryBegin(request, hasReserve)?.start();
  }
  assert.equal(hedging.tryBegin(request, hasReserve), undefined);
  assert.deepEqual(events.slice(0, 3), ['refused-load', 'not-needed', 'started']);
  assert.equal(events.filter((event) => event === 'started').length, MAXIMUM_SAVED_HEDGES);
  assert.equal(events.at(-1), 'refused-share');
});

// Guards against hedges that leave no retries for requests that failed.
test('no hedge is started when the reserve of the retry budget would be touched', () => {
  const events: gateway.HedgeEvent[] = [];
  const hedging = createHedging(() => settings, events);
  const asked: number[] = [];
  const noReserve = {
    hasReserve: (_service: string, share: number) => {
      asked.push(share);
      return false;
    },
  };
  for (let count = 0; count < 100; count += 1) {
    hedging.countRequest(request);
  }
  assert.equal(hedging.tryBegin(request, noReserve), undefined);
  assert.deepEqual([events, asked], [['refused-budget'], [settings.reserve]]);
});

test('without settings, an idempotent request is hedged after the delay of the dispatcher, without a limit of its own', () => {
  const hedging = createHedging(() => undefined);
  assert.equal(hedging.getDelay(virtualRoute, 230), 230);
  hedging.recordTime(virtualRoute, 20);
  assert.equal(hedging.getDelay(virtualRoute, 230), 230);
  const hedge = hedging.tryBegin(request, { hasReserve: () => false });
  assert.equal(hedge?.maximumLoad, undefined);
  assert.notEqual(hedge, undefined);
});

test('few response times leave the delay of the dispatcher nearly unchanged, many replace it', () => {
  const hedging = createHedging(() => settings);
  assert.equal(hedging.getDelay(virtualRoute, 500), 500);
  hedging.recordTime(virtualRoute, 100);
  const few = new gateway.Hedging({ settings: () => settings, onDecision: () => {}, now: () => 0 });
  few.recordTime(virtualRoute, 100);
  assert.ok((few.getDelay(virtualRoute, 500) as number) > 480);
  const many = createHedging(() => settings);
  for (let count = 0; count < 256; count += 1) {
    many.recordTime(virtualRoute, 100);
  }
  assert.ok((many.getDelay(virtualRoute, 500) as number) < 160);
});

// Guards against a gray failure that makes requests look late only when a second attempt can't meet their target.
test('if a tenth of all never ends, a request is late early enough for a second attempt within the target', () => {
  for (const [target, expected] of [
    [virtualRoute.targetMilliseconds, 700],
    [400, 230],
  ] as const) {
    const hedging = createHedging(() => settings);
    const route = { ...virtualRoute, targetMilliseconds: target };
    for (let count = 0; count < 256; count += 1) {
      hedging.recordTime(route, count % 10 === 0 ? DEADLINE : 100);
    }
    assert.equal(hedging.getDelay(route, 230), expected);
  }
});

test('changed settings apply at once: a share of 0 stops all hedges, a larger one allows more, none removes the limit', () => {
  let current: gateway.HedgingSettings | undefined = noHedges;
  const hedging = createHedging(() => current);
  assert.equal(hedging.tryBegin(request, hasReserve), undefined);
  current = { ...settings, share: 1 };
  for (let count = 0; count < MAXIMUM_SAVED_HEDGES; count += 1) {
    assert.notEqual(hedging.tryBegin(request, hasReserve), undefined);
  }
  assert.equal(hedging.tryBegin(request, hasReserve), undefined);
  hedging.countRequest(request);
  assert.notEqual(hedging.tryBegin(request, hasReserve), undefined);
  assert.equal(hedging.tryBegin(request, hasReserve), undefined);
  current = undefined;
  assert.notEqual(hedging.tryBegin(request, hasReserve), undefined);
});
