import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type * as datagrams from '@dogwoodstall/datagrams';
import type { UsageMessage } from '@dogwoodstall/grants';
import { type Organisation, RouteIndex, type TrafficConfiguration } from '@dogwoodstall/traffic';
import { FleetUsageLimits } from '../src/fleet-usage-limits.js';
import { type Member, MemberTable } from '../src/member.js';
import type { UsageReport } from '../src/usage-counts.js';
import { decodeUsageMessage, encodeUsageMessage } from '../src/usage-datagrams.js';
import { MemoryStore } from './memory-store.js';

/** Longer than the time for which requests wait at a new keeper. */
const SETTLE_MILLISECONDS = 3000;

function describeMember(name: string, host: string): Member {
  return {
    name,
    zone: 'a',
    host,
    datagramPort: 9,
    // A port on which nothing listens, and an address that is not routed.
    peerAddress: `${host}:9`,
    cores: 1,
    startedAt: 1,
  };
}

function createLimits(
  organisations: readonly Organisation[],
  others: readonly Member[],
): {
  readonly limits: FleetUsageLimits;
  readonly sent: datagrams.Message[];
  readonly reports: UsageReport[];
} {
  const members = new MemberTable(describeMember('self', '127.0.0.1'));
  others.forEach((member) => members.add(member));
  const store = new MemoryStore();
  store.configure(1, 'valuation', [...organisations]);
  const routes = new RouteIndex(store.configuration as TrafficConfiguration);
  const sent: datagrams.Message[] = [];
  const reports: UsageReport[] = [];
  const limits = new FleetUsageLimits({
    members,
    hasJoined: () => true,
    settings: () => ({ seeds: [], usage: { windowSeconds: 5, overage: 0.1, slack: 20 } }),
    findRoutes: () => routes,
    send: (message) => sent.push(message),
    onReport: (report) => reports.push(report),
    onKeeper: () => {},
    now: () => performance.now(),
  });
  return { limits, sent, reports };
}

const describeOrganisation = (name: string, requestsPerSecond: number): Organisation => ({
  name,
  tokenDigests: [],
  requestsPerSecond,
  burst: 0,
});

// Guards against messages and timers in fleets that have no limits.
test('without a limit requests are admitted at once and nothing is sent', async () => {
  const free = describeOrganisation('free', 0);
  const { limits, sent, reports } = createLimits([free], [describeMember('other', '127.0.0.2')]);
  limits.update();
  assert.equal((await limits.admit(free, new AbortController().signal)).kind, 'admitted');
  await delay(1200);
  limits.close();
  assert.deepEqual(sent, []);
  assert.deepEqual(reports, []);
});

// Guards against refusals in a fleet of one daemon, which keeps all limits itself.
test('a single daemon applies limits without messages', async () => {
  const small = describeOrganisation('small', 10);
  const { limits, sent } = createLimits([small], []);
  limits.update();
  await delay(SETTLE_MILLISECONDS);
  const decisions = [];
  for (let count = 0; count < 40; count += 1) {
    decisions.push(await limits.admit(small, new AbortController().signal));
  }
  limits.close();
  const refused = decisions.filter(({ kind }) => kind === 'refused');
  assert.ok(refused.length >= 15, `${refused.length} refused`);
  assert.ok(refused.length <= 38, `${refused.length} refused`);
  assert.ok(decisions.every((decision) => decision.kind === 'admitted' || decision.retryAfter > 0));
  assert.deepEqual(sent, []);
});

// Guards against requests that wait without end while no keeper responds.
test('a request is decided although no other daemon responds', async () => {
  const small = describeOrganisation('small', 10);
  const { limits, sent } = createLimits(
    [small],
    Array.from({ length: 5 }, (_, index) =>
      describeMember(`other-${index}`, `127.0.0.${index + 2}`),
    ),
  );
  limits.update();
  const startedAt = performance.now();
  await limits.admit(small, new AbortController().signal);
  limits.close();
  assert.ok(performance.now() - startedAt < 2000);
  assert.ok(sent.length > 0);
});

// Guards against requests that wait although their callers have left, and count as refused.
test('a request whose signal is aborted while it waits is decided at once and counted as withdrawn', async () => {
  const small = describeOrganisation('small', 10);
  const { limits, reports } = createLimits([small], [describeMember('other', '127.0.0.2')]);
  limits.update();
  const controller = new AbortController();
  const startedAt = performance.now();
  const decision = limits.admit(small, controller.signal);
  setTimeout(() => controller.abort(), 50);
  assert.equal((await decision).kind, 'refused');
  assert.ok(performance.now() - startedAt < 500);
  await delay(1500);
  limits.close();
  const count = (name: 'withdrawn' | 'refused' | 'admitted' | 'admittedAlone'): number =>
    reports.reduce((sum, report) => sum + report[name], 0);
  assert.deepEqual(
    [count('withdrawn'), count('refused'), count('admitted'), count('admittedAlone')],
    [1, 0, 0, 0],
  );
});

// Guards against a field that is lost on its way, such as one of the flags of a pledge.
test('messages about usage limits are the same after their encoding', () => {
  const pledges = [false, true].flatMap((certain) =>
    [false, true].flatMap((keeping) =>
      [false, true].map((rested) => ({ certain, keeping, rested })),
    ),
  );
  const messages: UsageMessage[] = [undefined, ...pledges].flatMap((pledge) => [
    { kind: 'borrow', sequence: 1, organisation: 'a', wanted: 2, pledge },
    { kind: 'pledge', sequence: 2, purpose: 'renew', pledge },
  ]);
  for (const message of messages) {
    assert.deepEqual(decodeUsageMessage(encodeUsageMessage(message, 0)), message);
  }
});
