import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as load from '@dogwoodstall/load';
import { InvariantBook, invariantNames } from '../src/proof/invariant-book.js';
import { Ledger } from '../src/proof/ledger.js';
import {
  drawSchedule,
  faultTargets,
  shrinkSchedule,
  type FaultSchedule,
} from '../src/proof/schedule.js';

const options = {
  seed: 7,
  durationMilliseconds: 120_000,
  daemons: ['daemon-1', 'daemon-2', 'daemon-3'],
  servers: ['server-1', 'server-2', 'server-3'],
};

const observation: load.AttemptObservation = {
  kind: 'failure',
  status: 503,
  failureCode: '3002',
  reportedExecution: 'not-run',
  idempotencyKey: undefined,
  requestId: 'request-1',
  className: 'confirmations',
  target: '127.0.0.1:1',
  sentKey: 'key-1',
  startedAt: 0,
  endedAt: 1,
};

function createExecutions(started: number, requestIds: readonly string[]) {
  const execution = { started, finished: started, servers: [], requestIds: [...requestIds] };
  const requests = Object.fromEntries(requestIds.map((id) => [id, 1]));
  return { keys: { 'key-1': execution }, requests };
}

test('a seed gives the same schedule again, and a long one contains every fault', () => {
  const schedule = drawSchedule(options);
  assert.deepEqual(drawSchedule(options), schedule);
  const kinds = new Set(schedule.map(({ fault }) => fault));
  assert.equal(kinds.size, Object.keys(faultTargets).length);
  const starts = schedule.map(({ at }) => at);
  assert.ok(new Set(starts).size < starts.length, 'no two faults together');
  assert.notDeepEqual(drawSchedule({ ...options, seed: 8 }), schedule);
});

test('shrinking finds the two faults that fail together and keeps its bound', async () => {
  const schedule = drawSchedule(options);
  const needed = [schedule[3], schedule[10]];
  let reruns = 0;
  const fails = async (candidate: FaultSchedule): Promise<boolean> => {
    reruns += 1;
    return needed.every((fault) => fault !== undefined && candidate.includes(fault));
  };
  assert.deepEqual(await shrinkSchedule(schedule, fails, 1000), needed);
  reruns = 0;
  await shrinkSchedule(schedule, fails, 5);
  assert.equal(reruns, 5);
});

test('an execution under the request id of an attempt that was told "not run" is found', () => {
  const ledger = new Ledger();
  ledger.record(observation);
  const held = new InvariantBook(invariantNames);
  ledger.checkNotRun(held, createExecutions(1, ['request-of-a-resend']));
  assert.equal(held.countViolations('not-run'), 0);
  const broken = new InvariantBook(invariantNames);
  ledger.checkNotRun(broken, createExecutions(1, ['request-1']));
  assert.equal(broken.countViolations('not-run'), 1);
});

test('a second execution of a key and an answer that is not whole are found', () => {
  const ledger = new Ledger();
  ledger.record({ ...observation, reportedExecution: 'ran', kind: 'truncated' });
  const book = new InvariantBook(invariantNames);
  ledger.checkKeys(book, createExecutions(2, []));
  ledger.checkAnswers(book);
  assert.equal(book.countViolations('at-most-once'), 1);
  assert.equal(book.countViolations('answers'), 1);
});

test('a run without an observation about an invariant names it', () => {
  const book = new InvariantBook(invariantNames);
  book.check('floor', true, () => '');
  assert.ok(book.listUnobserved().includes('drain'));
  assert.ok(!book.listUnobserved().includes('floor'));
});
