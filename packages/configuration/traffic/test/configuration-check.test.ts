/**
 * The check of a configuration before it is sent.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as traffic from '../src/index.js';

const route: traffic.Route = {
  name: 'offers',
  host: 'shop.example',
  prefix: '/offers/',
  idempotent: true,
  destinations: [{ service: 'valuation', weight: 1 }],
  timeoutMilliseconds: 2000,
  targetMilliseconds: 500,
  maximumAttempts: 3,
  priority: 1,
};

const organisation: traffic.Organisation = {
  name: 'glazier',
  tokenDigests: ['digest-1'],
  requestsPerSecond: 10,
  burst: 20,
};

const sound: traffic.TrafficConfiguration = {
  version: 2,
  routes: [route],
  services: [{ name: 'valuation', connectionLimit: 100 }],
  organisations: [organisation],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_000_000,
    headerMilliseconds: 3000,
    idleMilliseconds: 15_000,
  },
};

function listKinds(changes: Partial<traffic.TrafficConfiguration>): string[] {
  return traffic
    .checkConfiguration({ ...sound, ...changes })
    .map(({ kind, subject }) => `${kind} ${subject}`);
}

function checkRoute(changes: Partial<traffic.Route>): string[] {
  return listKinds({ routes: [{ ...route, ...changes }] });
}

test('a sound configuration has no findings, with organisations and without', () => {
  assert.deepEqual(listKinds({}), []);
  assert.deepEqual(listKinds({ organisations: undefined }), []);
});

// Guards against entries that look active and never serve a request.
test('routes that can never match are found', () => {
  const routes = [
    route,
    { ...route, name: 'second' },
    { ...route, name: 'other', host: 'b.example' },
  ];
  assert.deepEqual(listKinds({ routes }), ['RouteShadowed route/second']);
  const index = new traffic.RouteIndex({ ...sound, routes });
  assert.equal(index.find('shop.example', '/offers/1')?.name, 'offers');
  for (const host of ['Shop.example', 'shop.example:80', '']) {
    assert.deepEqual(checkRoute({ host }), ['HostNeverMatches route/offers'], host);
  }
  assert.deepEqual(checkRoute({ host: '[::1]' }), []);
  for (const prefix of ['offers/', '/offers/?page=', '/a b/', '']) {
    assert.deepEqual(checkRoute({ prefix }), ['PrefixNeverMatches route/offers'], prefix);
  }
  assert.deepEqual(checkRoute({ prefix: '/offers' }), ['PrefixWithinSegment route/offers']);
  assert.deepEqual(checkRoute({ prefix: '/' }), []);
});

test('destinations that do not exist, have no weight or are listed twice, and unused services are found', () => {
  const destinations = [{ service: 'absent', weight: 1 }];
  assert.deepEqual(checkRoute({ destinations }), [
    'ServiceUnknown route/offers',
    'ServiceUnused service/valuation',
  ]);
  const none = { service: 'valuation', weight: 0 };
  assert.deepEqual(checkRoute({ destinations: [none] }), ['WeightsZero route/offers']);
  assert.deepEqual(checkRoute({ destinations: [none, { ...none, weight: 1 }] }), [
    'DestinationRepeated route/offers',
  ]);
});

test('times of a route that contradict each other are found', () => {
  assert.deepEqual(checkRoute({ timeoutMilliseconds: 400 }), ['TimeoutBelowTarget route/offers']);
  assert.deepEqual(checkRoute({ maximumAttempts: 5 }), ['AttemptsBeyondTimeout route/offers']);
  assert.deepEqual(checkRoute({ maximumAttempts: 4 }), []);
  assert.deepEqual(checkRoute({ maximumAttempts: 1, targetMilliseconds: 2000 }), []);
});

// Guards against a token that admits callers under the name of another organisation.
test('tokens that are shared or absent, and usage caps that contradict themselves are found', () => {
  const other = { ...organisation, name: 'fitter' };
  const check = (...organisations: traffic.Organisation[]): string[] =>
    listKinds({ organisations });
  assert.deepEqual(check(organisation, other), ['TokenShared organisation/fitter']);
  assert.deepEqual(check({ ...organisation, tokenDigests: ['a', 'a'] }), [
    'TokenShared organisation/glazier',
  ]);
  assert.deepEqual(check(organisation, { ...other, tokenDigests: [] }), [
    'OrganisationWithoutToken organisation/fitter',
  ]);
  assert.deepEqual(check(organisation, { ...organisation, tokenDigests: ['digest-2'] }), [
    'NameRepeated organisation/glazier',
  ]);
  assert.deepEqual(check({ ...organisation, burst: 9 }), ['BurstBelowRate organisation/glazier']);
  assert.deepEqual(check({ ...organisation, requestsPerSecond: 0 }), [
    'BurstWithoutRate organisation/glazier',
  ]);
  assert.deepEqual(check({ ...organisation, requestsPerSecond: 0, burst: 0 }), []);
});

test('a configuration that admits nobody, and anonymous routes without organisations are found', () => {
  assert.deepEqual(listKinds({ organisations: [] }), ['NobodyAdmitted organisations']);
  const routes = [{ ...route, anonymous: true }];
  assert.deepEqual(listKinds({ organisations: [], routes }), []);
  assert.deepEqual(listKinds({ organisations: undefined, routes }), [
    'AnonymousWithoutOrganisations route/offers',
  ]);
});

test('names that are used repeatedly are found, errors come first, and numbers are unique', () => {
  const routes = [route, { ...route, prefix: '/other' }];
  const services = [...sound.services, ...sound.services];
  assert.deepEqual(listKinds({ routes, services }), [
    'NameRepeated route/offers',
    'NameRepeated service/valuation',
    'PrefixWithinSegment route/offers',
  ]);
  const numbers = Object.values(traffic.findingKinds).map(({ number }) => number);
  assert.equal(new Set(numbers).size, numbers.length);
});

test('the difference names added, removed and changed entries and fields', () => {
  const after: traffic.TrafficConfiguration = {
    ...sound,
    version: 3,
    routes: [
      { ...route, priority: 0, anonymous: true },
      { ...route, name: 'added', prefix: '/new/' },
    ],
    organisations: undefined,
    limits: { ...sound.limits, bodyBytes: 5 },
  };
  assert.deepEqual(traffic.compareConfigurations(sound, after), [
    {
      subject: 'route/offers',
      change: 'changed',
      fields: [
        { field: 'priority', before: '1', after: '0' },
        { field: 'anonymous', before: undefined, after: 'true' },
      ],
    },
    { subject: 'organisation/glazier', change: 'removed', fields: [] },
    {
      subject: 'limits',
      change: 'changed',
      fields: [{ field: 'bodyBytes', before: '1000000', after: '5' }],
    },
    { subject: 'route/added', change: 'added', fields: [] },
  ]);
  assert.deepEqual(traffic.compareConfigurations(sound, { ...sound, version: 9 }), []);
});

// Guards against a mistyped optional field, without which a public route asks for tokens.
test('fields that are unknown are found, with the names of their entries', () => {
  const value = { ...sound, routes: [{ ...route, anonymus: true }], comment: 'x' };
  const parsed = traffic.trafficConfigurationSchema.parse(value);
  assert.deepEqual(
    traffic.findUnknownFields(value, parsed).map(({ kind, subject }) => `${kind} ${subject}`),
    ['FieldUnknown routes/offers/anonymus', 'FieldUnknown comment'],
  );
  assert.deepEqual(traffic.findUnknownFields(sound, parsed), []);
});

// Guards against a configuration that is accepted and never comes into force.
test('a version that is not higher than the one in force is an error', () => {
  assert.deepEqual(traffic.checkVersion(sound, { ...sound, version: 3 }), []);
  for (const version of [1, 2]) {
    assert.equal(traffic.checkVersion(sound, { ...sound, version })[0]?.kind, 'VersionNotHigher');
  }
});
