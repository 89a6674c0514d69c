/**
 * Who is served when not all can be, in virtual time.
 *
 * Patterns: `hot-organisation` (one organisation sends eight times its usual), `crest` (all routes of a service rise to
 * 1.7 times within a moment), `uploads-beside-short-reads` (uploads that are due in seconds rise beside reads that are due
 * in half a second) and `shedding-endpoints` (endpoints reject more than half of the requests for some seconds).
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fastCheck from 'fast-check';
import { ContendedService, type ContendedLoad, type RouteLoad } from './contended-service.js';

const RUN_MILLISECONDS = 14_000;
const RISE_AT = 6000;

type FindRate = RouteLoad['findRate'];

const organisations = Array.from({ length: 12 }, (_, index) => `o${index}`);

function createReads(findRate: FindRate): RouteLoad {
  const times = { target: 533, deadline: 1598, work: 110 };
  const worth = { worth: 3.4, lateWorth: 0.41 };
  return { route: 'reads', priority: 0, idempotent: true, ...times, ...worth, findRate };
}

function createOrders(findRate: FindRate): RouteLoad {
  const times = { target: 1242, deadline: 3101, work: 290 };
  const worth = { worth: 1.8, lateWorth: 0.54 };
  return { route: 'orders', priority: 1, idempotent: false, ...times, ...worth, findRate };
}

function createUploads(findRate: FindRate): RouteLoad {
  const times = { target: 3093, deadline: 4124, work: 338 };
  const worth = { worth: 0.9, lateWorth: 0.4 };
  return { route: 'uploads', priority: 2, idempotent: false, ...times, ...worth, findRate };
}

function rise(multiple: number, until: number): (at: number) => number {
  return (at) => (at >= RISE_AT && at < until ? multiple : 1);
}

function run(load: Pick<ContendedLoad, 'routes'> & Partial<ContendedLoad>): ContendedService {
  const service = { endpoints: 10, slots: 3, organisations, ...load };
  return new ContendedService(service, 1, RISE_AT).run(RUN_MILLISECONDS);
}

function computeMeanWait({
  waitedForRefusal,
  refused,
}: ReturnType<ContendedService['sum']>): number {
  return waitedForRefusal / Math.max(1, refused);
}

const hotRise = rise(8, 12_000);
const hotOrders = createOrders((organisation, at) => {
  const usual = organisation === 'o5' ? 19.5 : 6.5;
  return organisation === 'o0' ? usual * hotRise(at) : usual;
});

// Guards against an organisation in excess whose requests displace those of the others.
test('hot-organisation: only the organisation in excess is refused', () => {
  const service = run({ routes: [hotOrders] });
  const others = service.sum((_, organisation) => organisation !== 'o0');
  assert.equal(others.inTime, others.requests, `${others.refused} of the others refused`);
  const hot = service.sum((_, organisation) => organisation === 'o0');
  assert.ok(hot.refused > 0);
  assert.ok(hot.inTime >= 0.4 * hot.requests, `${hot.inTime} of ${hot.requests}`);
  assert.ok(computeMeanWait(hot) <= 155, `refused after ${computeMeanWait(hot)} ms`);
});

// Guards against a dispatcher that takes over during the rise and knows no usual use.
test('hot-organisation: the others are served if the organisation is in excess from the start', () => {
  const findRate: FindRate = (organisation) => (organisation === 'o0' ? 60 : 6.5);
  const load = { endpoints: 10, slots: 3, organisations, routes: [createOrders(findRate)] };
  const service = new ContendedService(load, 2).run(4800);
  const others = service.sum((_, organisation) => organisation !== 'o0');
  assert.ok(others.inTime >= 0.98 * others.requests, `${others.inTime} of ${others.requests}`);
});

// Guards against fair shares that cut a large organisation although a small one is in excess.
test('hot-organisation: a large organisation keeps its usual use', () => {
  const service = run({
    routes: [
      createOrders((organisation, at) => {
        const usual = organisation === 'o5' ? 30 : 4;
        return organisation === 'o0' ? usual * 2 * hotRise(at) : usual;
      }),
    ],
  });
  const large = service.sum((_, organisation) => organisation === 'o5');
  assert.ok(large.inTime >= 0.97 * large.requests, `${large.inTime} of ${large.requests}`);
});

const crestRise = rise(1.7, 9000);
const crestRoutes = [
  createReads((_, at) => 5 * crestRise(at)),
  createOrders((_, at) => 5.5 * crestRise(at)),
];

// Guards against urgent requests that wait behind others, and against refusals that come late.
test('crest: urgent requests are all served in time, and refusals come early', () => {
  const service = run({ routes: crestRoutes });
  const reads = service.sum((route) => route === 'reads');
  assert.equal(reads.inTime, reads.requests);
  const orders = service.sum((route) => route === 'orders');
  assert.ok(orders.inTime + orders.late >= 0.85 * orders.requests, JSON.stringify(orders));
  assert.ok(computeMeanWait(orders) <= 160, `refused after ${computeMeanWait(orders)} ms`);
});

// Guards against shares that count a crest of everybody as the excess of some.
test('crest: no organisation is served much less often than the others', () => {
  const service = run({ routes: crestRoutes });
  for (const organisation of organisations) {
    const own = service.sum((_, other) => other === organisation);
    assert.ok(own.inTime >= 0.85 * own.requests, `${organisation}: ${JSON.stringify(own)}`);
  }
});

// Guards against uploads that are refused although they could wait, and that hold up reads.
test('uploads-beside-short-reads: reads are served in time, uploads use the time that they have', () => {
  const routes = [
    createReads((_, at) => 6 * crestRise(at)),
    createUploads((_, at) => 4 * rise(2.2, 12_000)(at)),
  ];
  const service = run({ routes });
  const reads = service.sum((route) => route === 'reads');
  assert.equal(reads.inTime, reads.requests);
  const uploads = service.sum((route) => route === 'uploads');
  const before = run({ routes, tellsOrganisations: false }).sum((route) => route === 'uploads');
  assert.ok(uploads.inTime > 1.1 * before.inTime, `${uploads.inTime}, before ${before.inTime}`);
  assert.ok(computeMeanWait(uploads) < 0.5 * computeMeanWait(before));
});

// Guards against requests that are refused because of rejections, which leave the slots free.
test('shedding-endpoints: nothing is refused, and all organisations lose the same share', () => {
  const service = run({
    findShedShare: (at) => (at > RISE_AT ? 0.55 : 0),
    routes: [createReads(() => 4), createOrders(() => 5)],
  });
  const total = service.sum();
  assert.equal(total.refused, 0);
  const share = total.inTime / total.requests;
  // Three attempts each of which is rejected with this probability.
  assert.ok(share > 1 - 0.55 ** 3 - 0.04, `${share}`);
  for (const organisation of organisations) {
    const own = service.sum((_, other) => other === organisation);
    assert.ok(own.inTime > 0.7 * share * own.requests, organisation);
  }
});

interface AnyOrganisationLoad {
  readonly seed: number;
  readonly hotRate: number;
  readonly modestRate: number;
  readonly modestCount: number;
}

const anyOrganisationLoad: fastCheck.Arbitrary<AnyOrganisationLoad> = fastCheck.record({
  seed: fastCheck.nat(),
  hotRate: fastCheck.integer({ min: 20, max: 200 }),
  modestRate: fastCheck.integer({ min: 1, max: 6 }),
  modestCount: fastCheck.integer({ min: 1, max: 8 }),
});

function runBesideHot(
  { seed, hotRate, modestRate, modestCount }: AnyOrganisationLoad,
  milliseconds: number,
): { readonly service: ContendedService; readonly modest: readonly string[] } {
  const modest = organisations.slice(0, modestCount);
  const load = {
    endpoints: 5,
    slots: 3,
    organisations: [...modest, 'hot'],
    routes: [
      createOrders((organisation) => (organisation === 'hot' ? hotRate : modestRate)),
      createUploads((organisation) => (organisation === 'hot' ? hotRate / 4 : 0)),
    ],
  };
  return { service: new ContendedService(load, seed).run(milliseconds), modest };
}

// Guards against an organisation below its fair share that starves beside any excess of another.
test('organisations below their fair share are served beside an organisation in excess', () => {
  fastCheck.assert(
    fastCheck.property(anyOrganisationLoad, (load) => {
      const { service, modest } = runBesideHot(load, 4800);
      const own = service.sum((_, organisation) => modest.includes(organisation));
      assert.ok(own.inTime + own.late >= 0.95 * own.requests, JSON.stringify(own));
    }),
    { numRuns: 25 },
  );
});

// Guards against an organisation whose use has become usual and that displaces the others.
test('no organisation is served less often than one that always asks for more than there is', () => {
  fastCheck.assert(
    fastCheck.property(anyOrganisationLoad, (load) => {
      const { service, modest } = runBesideHot(load, 12_000);
      const hot = service.sum((_, organisation) => organisation === 'hot');
      const share = (hot.inTime + hot.late) / hot.requests;
      for (const organisation of modest) {
        const own = service.sum((_, other) => other === organisation);
        const served = own.inTime + own.late;
        assert.ok(served >= 0.9 * share * own.requests - 2, JSON.stringify({ share, own }));
      }
    }),
    { numRuns: 25 },
  );
});

// Guards against an order that leaves a slot idle while a request waits that may use it.
test('no slot is idle while a request waits that may use it', () => {
  fastCheck.assert(
    fastCheck.property(anyOrganisationLoad, ({ seed, hotRate, modestRate, modestCount }) => {
      const load = {
        endpoints: 4,
        slots: 2,
        organisations: [...organisations.slice(0, modestCount), 'hot'],
        routes: [
          createReads((organisation) => (organisation === 'hot' ? hotRate / 2 : modestRate)),
          { ...createOrders(() => modestRate), idempotent: true },
        ],
      };
      const service = new ContendedService(load, seed).run(4000);
      assert.equal(service.idleSteps, 0);
    }),
    { numRuns: 25 },
  );
});
