/**
 * Records of requests that crash endpoints: what is counted, what ends it, and how the records of daemons are merged.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fastCheck from 'fast-check';
import {
  type CrashRecord,
  CrashRecords,
  type ResetAttempt,
  mergeCrashRecords,
} from '../src/crash-records.js';
import { VirtualService, createEndpoint } from './fixture.js';

const FINGERPRINT = 'culprit';
/** Attempts of a request, over all times that its caller sends it. */
const MAXIMUM_ATTEMPTS = 8;

function createReset(endpoint: string, changes: Partial<ResetAttempt> = {}): ResetAttempt {
  return {
    fingerprint: FINGERPRINT,
    endpoint,
    lifetime: 1,
    source: '10.0.0.1',
    silent: true,
    rested: 0,
    isReachable: undefined,
    ...changes,
  };
}

/** Adds the resets one second apart, and returns the time after them. */
function addAll(records: CrashRecords, resets: readonly ResetAttempt[]): number {
  let now = 1000;
  for (const reset of resets) {
    records.add(reset, now);
    now += 1000;
  }
  return now;
}

const timeArbitrary = fastCheck.oneof(
  fastCheck.constant(-Infinity),
  fastCheck.integer({ min: 0, max: 50 }),
);

const evidenceArbitrary = fastCheck.record(
  {
    endpoint: fastCheck.constantFrom('e1', 'e2', 'e3', 'e4', 'e5', 'e6'),
    lifetime: fastCheck.constantFrom(1, 2),
    weight: fastCheck.constantFrom(0.4, 0.75, 1),
    source: fastCheck.constantFrom('10.0.0.1', '10.0.0.2'),
    at: fastCheck.integer({ min: 0, max: 50 }),
  },
  { noNullPrototype: true },
);

const recordArbitrary: fastCheck.Arbitrary<CrashRecord> = fastCheck.record(
  {
    fingerprint: fastCheck.constant(FINGERPRINT),
    evidence: fastCheck.array(evidenceArbitrary, { maxLength: 12 }),
    clearedAt: timeArbitrary,
    lastAt: fastCheck.integer({ min: 0, max: 50 }),
  },
  { noNullPrototype: true },
);

const nothing: CrashRecord = {
  fingerprint: FINGERPRINT,
  evidence: [],
  clearedAt: -Infinity,
  lastAt: -Infinity,
};

test('three crashed endpoints make a request refused, two do not', () => {
  const records = new CrashRecords();
  let now = addAll(
    records,
    ['e1', 'e2'].map((id) => createReset(id)),
  );
  assert.equal(records.shouldRefuse(FINGERPRINT, now), false);
  records.add(createReset('e3'), now);
  now += 10;
  assert.equal(records.shouldRefuse(FINGERPRINT, now), true);
  assert.equal(records.shouldRefuse('innocent', now), false);
});

test('an endpoint that crashed, started again and crashed again under its id counts twice', () => {
  const records = new CrashRecords();
  const now = addAll(
    records,
    [1, 2, 3].map((lifetime) => createReset('e1', { lifetime })),
  );
  assert.equal(records.shouldRefuse(FINGERPRINT, now), true);
});

test('three idle connections that endpoints closed do not make a request refused', () => {
  const records = new CrashRecords();
  const resets = ['e1', 'e2', 'e3'].map((id) => createReset(id, { rested: 400 }));
  assert.equal(records.shouldRefuse(FINGERPRINT, addAll(records, resets)), false);
});

test('a request that succeeds is not refused for the resets before', () => {
  const records = new CrashRecords();
  let now = addAll(
    records,
    ['e1', 'e2'].map((id) => createReset(id)),
  );
  records.clear(FINGERPRINT, now);
  now += 1;
  records.add(createReset('e3'), now);
  assert.equal(records.shouldRefuse(FINGERPRINT, now), false);
});

test('a request whose endpoints accept connections directly after the reset is refused after six', () => {
  const records = new CrashRecords();
  const later = ['e2', 'e3', 'e4', 'e5'].map((id) => createReset(id, { isReachable: true }));
  const now = addAll(records, [createReset('e1'), ...later]);
  assert.equal(records.shouldRefuse(FINGERPRINT, now), false);
  records.add(createReset('e6', { isReachable: true }), now);
  assert.equal(records.shouldRefuse(FINGERPRINT, now), true);
});

test('a record ends some time after the request was last refused', () => {
  const records = new CrashRecords();
  const now = addAll(
    records,
    ['e1', 'e2', 'e3'].map((id) => createReset(id)),
  );
  assert.equal(records.shouldRefuse(FINGERPRINT, now + 100_000), true);
  assert.equal(records.shouldRefuse(FINGERPRINT, now + 200_000), true);
  assert.equal(records.shouldRefuse(FINGERPRINT, now + 330_000), false);
});

test('a request that is refused for an hour is tried again', () => {
  const records = new CrashRecords();
  let now = addAll(
    records,
    ['e1', 'e2', 'e3'].map((id) => createReset(id)),
  );
  const end = now + 3_700_000;
  let wasTried = false;
  for (; now < end && !wasTried; now += 60_000) {
    wasTried = !records.shouldRefuse(FINGERPRINT, now);
  }
  assert.equal(wasTried, true);
});

test('the memory of records is bounded', () => {
  const records = new CrashRecords();
  for (let index = 0; index < 10_000; index += 1) {
    for (const id of ['e1', 'e2', 'e3']) {
      records.add(createReset(id, { fingerprint: String(index) }), 1000);
    }
  }
  assert.equal(records.listCrashing(1000).length, 4096);
  assert.equal(records.shouldRefuse('0', 1000), false);
  assert.equal(records.shouldRefuse('9999', 1000), true);
});

test('merging records is commutative, associative and idempotent, so that order and repetition do not matter', () => {
  const triple = fastCheck.tuple(recordArbitrary, recordArbitrary, recordArbitrary);
  fastCheck.assert(
    fastCheck.property(triple, ([first, second, third]) => {
      const merged = mergeCrashRecords(first, second);
      assert.deepEqual(mergeCrashRecords(second, first), merged);
      assert.deepEqual(mergeCrashRecords(merged, second), merged);
      assert.deepEqual(
        mergeCrashRecords(merged, third),
        mergeCrashRecords(first, mergeCrashRecords(second, third)),
      );
    }),
    { numRuns: 500, seed: 1 },
  );
});

test('parts of a record that arrive in any order, more than once, add up to the whole record', () => {
  fastCheck.assert(
    fastCheck.property(
      recordArbitrary,
      fastCheck.array(fastCheck.nat({ max: 11 })),
      (record, repeated) => {
        const parts = record.evidence.map((evidence) => ({ ...record, evidence: [evidence] }));
        const again = repeated.flatMap((index) => parts[index] ?? []);
        let merged: CrashRecord = { ...record, evidence: [] };
        for (const part of [...again, ...parts.reverse()]) {
          merged = mergeCrashRecords(merged, part);
        }
        assert.deepEqual(merged, mergeCrashRecords(nothing, record));
      },
    ),
    { numRuns: 500, seed: 1 },
  );
});

test('a request that is queued when it becomes known to crash endpoints is not granted', () => {
  const service = new VirtualService([createEndpoint('e1', { slots: 1 })]);
  const running = service.ask();
  const queued = service.ask({ fingerprint: FINGERPRINT });
  assert.equal(service.decisions.get(queued), undefined);
  addAll(
    service.crashRecords,
    ['e2', 'e3', 'e4'].map((id) => createReset(id)),
  );
  service.now += 3000;
  service.run('success', 5, running);
  assert.deepEqual(service.decisions.get(queued), {
    kind: 'refuse',
    reason: 'crashing',
    retryAfter: 400,
    inExcess: false,
  });
});

/** Runs requests of endpoints that reset a share of the connections and go on; returns how many were refused. */
function runResets(percent: number): number {
  const endpoints = Array.from({ length: 12 }, (_, index) => createEndpoint(`e${index}`));
  const service = new VirtualService(endpoints);
  const random = fastCheck.sample(fastCheck.noBias(fastCheck.nat({ max: 99 })), {
    numRuns: 60_000,
    seed: 1,
  });
  let refused = 0;
  for (let request = 0; request < 10_000; request += 1) {
    const fingerprint = `request-${request}`;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const key = service.ask({ fingerprint, idempotent: true, repeated: attempt > 0 });
      const decision = service.decisions.get(key);
      if (decision?.kind === 'refuse' && decision.reason === 'crashing') {
        refused += 1;
      }
      const isReset = (random.pop() as number) < percent;
      if (decision?.kind !== 'grant' || !isReset) {
        service.run('success', 10, decision?.kind === 'grant' ? key : service.ask());
        break;
      }
      const { id: endpoint, lifetime } = service.run('reset', 10, key).endpoint;
      const isReachable = attempt > 0 ? true : undefined;
      const reset = createReset(endpoint, { fingerprint, lifetime, isReachable });
      service.crashRecords.add(reset, service.now);
    }
  }
  return refused;
}

test('none of 10,000 requests is refused as crashing although endpoints reset one connection in ten and go on', () => {
  assert.equal(runResets(10), 0);
});
