import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as grants from '@dogwoodstall/grants';
import type { Candidates } from '../src/candidates.js';
import type { Directory } from '../src/directory.js';
import { MemberTable } from '../src/member.js';
import { RetryBudgets } from '../src/retry-budgets.js';
import { RoleAssignment } from '../src/role-assignment.js';
import { StoreContactTracker } from '../src/store-contact-tracker.js';

const WINDOW_MILLISECONDS = 10_000;
const REPORT_MILLISECONDS = 1000;

function createMember(index: number): ConstructorParameters<typeof MemberTable>[0] {
  const host = `10.0.0.${index}`;
  const addresses = { host, datagramPort: 1, peerAddress: `${host}:1` };
  return { name: `daemon-${index}`, zone: 'a', ...addresses, cores: 1, startedAt: 1 };
}

function createRoles(self: number, size: number): RoleAssignment {
  const members = new MemberTable(createMember(self));
  for (let index = 0; index < size; index += 1) {
    members.add(createMember(index));
  }
  return new RoleAssignment({
    members,
    directory: {} as Directory,
    storeContact: new StoreContactTracker(),
    retries: () => ({ ratio: 0.2, slack: 58, windowSeconds: 10 }),
    candidates: () => ({}) as Candidates,
    joinedAt: () => undefined,
    isRoleActive: () => false,
    lastStoreContactAt: () => 0,
    isStoreLost: () => false,
  });
}

// Guards against daemons that take the same part of the slack.
test('the parts of the slack that the daemons compute add up to less than the slack, and differ by service', () => {
  for (const size of [1, 4, 36, 87]) {
    const sums = ['valuation', 'archive'].map((service) => {
      const parts = Array.from(
        { length: size },
        (_, index) => createRoles(index, size).computeRetryBudget(service).slack,
      );
      return parts.reduce((total, part) => total + part, 0);
    });
    assert.deepEqual(sums, [52, 52], `${size} daemons`);
  }
  const listLucky = (service: string): number[] =>
    Array.from(
      { length: 87 },
      (_, index) => createRoles(index, 87).computeRetryBudget(service).slack,
    );
  assert.notDeepEqual(listLucky('valuation'), listLucky('archive'));
});

test('each service has a budget of its own; refused retries are reported once with its state', (context) => {
  let now = 0;
  context.mock.timers.enable({ apis: ['setInterval'] });
  const reports: [string, grants.RetryBudgetState, number][] = [];
  const budgets = new RetryBudgets({
    share: () => ({ ratio: 0, slack: 1, windowMilliseconds: WINDOW_MILLISECONDS }),
    onState: (service, state, refused) => reports.push([service, state, refused]),
    now: () => now,
  });
  budgets.start();
  now = 2 * WINDOW_MILLISECONDS;
  budgets.countRequest('valuation');
  const giveBack = budgets.take('valuation');
  assert.ok(giveBack !== undefined);
  assert.equal(budgets.take('valuation'), undefined);
  assert.equal(budgets.canRetry('valuation'), false);
  assert.equal(budgets.mayProbe('valuation'), false);
  assert.equal(budgets.canRetry('archive'), true);
  context.mock.timers.tick(REPORT_MILLISECONDS);
  const state = { requests: 1, retries: 1, remaining: 0, slack: 1, isNew: false };
  assert.deepEqual(reports[0], ['valuation', state, 2]);
  assert.equal(reports[1]?.[2], 0);
  giveBack();
  assert.equal(budgets.canRetry('valuation'), true);
  context.mock.timers.tick(REPORT_MILLISECONDS);
  assert.equal(reports[2]?.[2], 0);
  budgets.stop();
});

// Guards against a daemon without metrics that computes the state of hundreds of services each second.
test('without an observer only the services are reported whose retries were refused', (context) => {
  let now = 0;
  context.mock.timers.enable({ apis: ['setInterval'] });
  const reports: [string, number][] = [];
  let isObserved = false;
  const budgets = new RetryBudgets({
    share: () => ({ ratio: 0, slack: 1, windowMilliseconds: WINDOW_MILLISECONDS }),
    onState: (service, _state, refused) => reports.push([service, refused]),
    isObserved: () => isObserved,
    now: () => now,
  });
  budgets.start();
  now = 2 * WINDOW_MILLISECONDS;
  budgets.countRequest('archive');
  budgets.take('valuation');
  budgets.take('valuation');
  context.mock.timers.tick(REPORT_MILLISECONDS);
  assert.deepEqual(reports, [['valuation', 1]]);
  isObserved = true;
  context.mock.timers.tick(REPORT_MILLISECONDS);
  assert.deepEqual(reports.slice(1), [
    ['archive', 0],
    ['valuation', 0],
  ]);
  budgets.stop();
});

// Guards against counts whose slices belong to another window.
test('a changed window begins like a start', () => {
  let now = 0;
  let windowMilliseconds = WINDOW_MILLISECONDS;
  const budgets = new RetryBudgets({
    share: () => ({ ratio: 0, slack: 2, windowMilliseconds }),
    onState: () => {},
    now: () => now,
  });
  now = 2 * WINDOW_MILLISECONDS;
  assert.ok(budgets.take('valuation') !== undefined);
  windowMilliseconds /= 2;
  assert.equal(budgets.take('valuation'), undefined);
  now += 2 * windowMilliseconds;
  assert.ok(budgets.take('valuation') !== undefined);
});
