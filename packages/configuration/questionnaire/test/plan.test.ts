import * as assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import * as path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as questionnaire from '../src/index.js';

const examples = fileURLToPath(new URL('../../../../../examples', import.meta.url));

type ServiceOverrides = Partial<questionnaire.AnswersInput['services'][number]>;

function createAnswers(changes: ServiceOverrides = {}): questionnaire.Answers {
  const input: questionnaire.AnswersInput = {
    organisation: { name: 'shop' },
    zones: [
      { name: 'zone-a', region: 'north' },
      { name: 'zone-b', region: 'north' },
    ],
    services: [
      {
        name: 'offers',
        hosts: ['offers.example'],
        traffic: { meanRequestsPerSecond: 100, peakRequestsPerSecond: 200 },
        requests: { typicalMilliseconds: 20, longShare: 0.02, longMilliseconds: 1000 },
        tolerances: {
          callerWaitMilliseconds: 2000,
          callerLatencyMilliseconds: 8,
          lostRequestCost: 'high',
          doubledRequestCost: 'high',
        },
        paths: [
          { path: '/offers', methods: ['GET'], effect: 'none' },
          { path: '/reports', methods: ['GET'], effect: 'none', takesLong: true },
          { path: '/orders', methods: ['POST'], effect: 'once' },
        ],
        serverGroups: [
          { zone: 'zone-a', slots: 2, connections: 100, addresses: ['127.0.0.1:1', '127.0.0.1:2'] },
          { zone: 'zone-b', slots: 4, connections: 100, addresses: ['127.0.0.1:3', '127.0.0.1:4'] },
        ],
        ...changes,
      },
    ],
  };
  return questionnaire.answersSchema.parse(input);
}

function findContract(plan: questionnaire.Plan): model.Contract {
  const service = model.Configuration.fromOperations(1, plan.operations).services.get('offers');
  assert.ok(service !== undefined);
  return service.contract;
}

function assertRejected(changes: ServiceOverrides, pattern: RegExp): void {
  assert.throws(
    () => questionnaire.generatePlan(createAnswers(changes)),
    (error) => results.isFailure(error, 'QuestionnaireInvalid') && pattern.test(error.message),
  );
}

test('contract values are derived from the answers and not taken from the schema defaults', () => {
  const contract = findContract(questionnaire.generatePlan(createAnswers()));
  // 0.98 * 20 ms + 0.02 * 1000 ms = 39.6 ms; 200 requests/s need 7.92 of 12 slots.
  assert.equal(contract.deadlineMilliseconds, 1984);
  assert.equal(contract.minimumSlots, 4);
  assert.equal(contract.healthyCapacityFloor, 0.66);
  assert.equal(contract.longSlotShare, 0.42);
  assert.equal(contract.queueLimit, 589);
  assert.equal(contract.retryBudget, 0.17);
  assert.equal(contract.priority, 0);
  assert.equal(contract.keyLifetimeMilliseconds, 3_600_000);
});

test('every field of a generated contract is listed with its value and a reason', () => {
  const plan = questionnaire.generatePlan(createAnswers());
  const contract = findContract(plan);
  const reasons = plan.reasons.filter(({ entity }) => entity === 'service/offers');
  const reasoned = Object.fromEntries(reasons.map(({ field, value }) => [field, value]));
  assert.deepEqual(reasoned, contract);
  for (const { field, reason } of plan.reasons) {
    assert.ok(reason.includes(' '), field);
  }
});

test('the capacity floor covers the slots that the peak needs, with headroom', () => {
  const traffic = { meanRequestsPerSecond: 100, peakRequestsPerSecond: 120 };
  // 120 requests/s at 39.6 ms need 4.75 of 12 slots.
  const plan = questionnaire.generatePlan(createAnswers({ traffic }));
  assert.equal(findContract(plan).healthyCapacityFloor, 0.44);
});

test('one endpoint remains ejectable although the peak needs all slots', () => {
  const traffic = { meanRequestsPerSecond: 100, peakRequestsPerSecond: 900 };
  const plan = questionnaire.generatePlan(createAnswers({ traffic }));
  assert.equal(findContract(plan).healthyCapacityFloor, 0.66);
  assert.match(plan.warnings.join('\n'), /the peak needs 36 slots and 12 exist/);
});

test('a path with the effect "once" becomes a non-idempotent route', () => {
  const { operations } = questionnaire.generatePlan(createAnswers());
  const { routeTable } = model.Configuration.fromOperations(1, operations);
  assert.equal(routeTable.find('offers.example', '/orders', 'POST')?.idempotent, false);
  assert.equal(routeTable.find('offers.example', '/offers', 'GET')?.idempotent, true);
  assert.equal(routeTable.find('offers.example', '/reports', 'GET')?.sizeClass, 'long');
});

test('limits of an organisation are derived from its maximum share of the peak', () => {
  const { tolerances } = createAnswers().services[0] ?? assert.fail();
  const plan = questionnaire.generatePlan(
    createAnswers({
      traffic: {
        meanRequestsPerSecond: 100,
        peakRequestsPerSecond: 200,
        largestOrganisationShare: 0.25,
      },
      tolerances: { ...tolerances, callersHaveTokens: true },
    }),
  );
  assert.equal(findContract(plan).organisationRatePerSecond, 50);
  assert.equal(findContract(plan).organisationRequired, true);
});

test('answers that contradict each other are rejected', () => {
  const { tolerances } = createAnswers().services[0] ?? assert.fail();
  const traffic = { meanRequestsPerSecond: 100, peakRequestsPerSecond: 200 };
  assertRejected({ traffic: { ...traffic, peakRequestsPerSecond: 50 } }, /peak is below the mean/);
  assertRejected(
    { traffic: { meanRequestsPerSecond: 400, peakRequestsPerSecond: 400 } },
    /needs 16 slots, the backend servers have 12/,
  );
  assertRejected({ traffic: { ...traffic, largestOrganisationShare: 0.5 } }, /callersHaveTokens/);
  assertRejected(
    { tolerances: { ...tolerances, callerWaitMilliseconds: 25 } },
    /callers wait 25 ms, but the request takes 20 ms and the network 16 ms/,
  );
  assertRejected(
    { paths: [{ path: '/orders', methods: ['GET'], effect: 'once' }] },
    /contradicts the method GET/,
  );
  assertRejected(
    { paths: [{ path: '/offers', methods: ['GET'], effect: 'none' }] },
    /no path has effect = "once"/,
  );
  assertRejected(
    { serverGroups: [{ zone: 'zone-x', slots: 9, connections: 3, addresses: ['127.0.0.1:9'] }] },
    /zone "zone-x" is not in zones\n.*3 connections cannot use 9 slots/,
  );
});

test('contradictions in a file are reported with their lines', async () => {
  const file = path.join(examples, 'cadeaupot/questionnaire.toml');
  const text = await readFile(file, 'utf8');
  const changed = text.replace('peakRequestsPerSecond = 4000', 'peakRequestsPerSecond = 1');
  assert.throws(
    () => questionnaire.parseAnswers(changed, 'answers.toml'),
    (error) =>
      results.isFailure(error, 'QuestionnaireInvalid') &&
      /^answers\.toml:\d+: services\[0\]\.traffic\.peakRequestsPerSecond: /.test(error.message),
  );
});

for (const [example, expected] of [
  ['sertao-sistemas', { avaliacao: [25, 2, 330], arquivo: [6, 2, 330] }],
  ['cadeaupot', { potbeheer: [30, 4, 390], feestalbum: [6, 4, 390] }],
] as const) {
  test(`the example ${example} generates a plan of the documented size without warnings`, async () => {
    const file = path.join(examples, example, 'questionnaire.toml');
    const answers = questionnaire.parseAnswers(await readFile(file, 'utf8'), file);
    const plan = questionnaire.generatePlan(answers);
    const configuration = model.Configuration.fromOperations(1, plan.operations);
    const sizes: Record<string, number[]> = {};
    for (const service of configuration.services.keys()) {
      const servers = configuration.getServers(service);
      sizes[service] = [servers.length, servers[0]?.slots ?? 0, servers[0]?.connectionLimit ?? 0];
    }
    assert.deepEqual(sizes, expected);
    assert.deepEqual(plan.warnings, []);
    assert.equal(configuration.zones.size, 3);
  });
}
