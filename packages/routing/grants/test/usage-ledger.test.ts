import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { UsageLedger } from '../src/usage-ledger.js';

const MEMBERS = ['daemon-1', 'daemon-2', 'daemon-3', 'daemon-4'];
const limit = { tokensPerMillisecond: 0.01, depth: 8, initial: 4 };

function createLedger(): UsageLedger {
  return new UsageLedger({ listMembers: () => MEMBERS, findLimit: () => limit, startedAt: 0 });
}

const describePledge = (
  name: string,
  changes: { certain?: boolean; keeping?: boolean; rested?: boolean } = {},
) => ({ name, certain: true, keeping: false, rested: false, ...changes });

function pledgeAll(ledger: UsageLedger, until: number): void {
  for (let now = 0; now <= until; now += 500) {
    MEMBERS.forEach((name) => ledger.accept(describePledge(name), now));
  }
}

// Guards against a keeper that lends what other keepers lend, too.
test('a keeper lends the share that is pledged to it', () => {
  const ledger = createLedger();
  ledger.accept(describePledge('daemon-1'), 0);
  assert.equal(ledger.computeShare(0), 0.25);
  assert.equal(ledger.lend('a', 5, 800).tokens, 2);
  assert.equal(ledger.computeShare(1000), 0);
});

// Guards against a keeper that goes on with the parts of daemons that have moved to another one.
test('buckets are cut down when pledges end', () => {
  const ledger = createLedger();
  pledgeAll(ledger, 1000);
  MEMBERS.slice(0, 3).forEach((name) => ledger.release(name, 1000));
  assert.equal(ledger.lend('a', 8, 1000).tokens, 2);
});

// Guards against a bucket that was not used while the share fell and rose again.
test('buckets that are used for the first time have gone through the same falls', () => {
  const ledger = createLedger();
  pledgeAll(ledger, 1000);
  MEMBERS.forEach((name) => ledger.release(name, 1000));
  MEMBERS.forEach((name) => ledger.accept(describePledge(name), 1000));
  assert.equal(ledger.lend('a', 8, 1100).tokens, 1);
});

// Guards against a part that is counted here and at the keeper of the daemon's former process.
test('pledges of new processes count once no other candidate keeps pledges', () => {
  const ledger = createLedger();
  MEMBERS.slice(0, 3).forEach((name) => ledger.accept(describePledge(name, { certain: false }), 0));
  assert.equal(ledger.computeShare(0), 0);
  ledger.accept(describePledge('daemon-4', { keeping: true }), 0);
  assert.equal(ledger.computeShare(0), 0.25);
  ledger.accept(describePledge('daemon-4'), 0);
  assert.equal(ledger.computeShare(0), 1);
});

// Guards against refusals below the limit after the end of a keeper.
test('parts that have rested bring tokens to a new keeper, once', () => {
  const ledger = createLedger();
  MEMBERS.forEach((name) => ledger.accept(describePledge(name, { rested: true }), 0));
  MEMBERS.forEach((name) => ledger.accept(describePledge(name, { rested: true }), 10));
  assert.equal(ledger.lend('a', 8, 10).tokens, 4);
});

// Guards against a caller that is told to come back too early, or never.
test('a refusal says when there is a token', () => {
  const ledger = createLedger();
  pledgeAll(ledger, 0);
  const { tokens, retryAfter } = ledger.lend('a', 1, 20);
  assert.equal(tokens, 0);
  assert.equal(retryAfter, 80);
  assert.equal(ledger.lend('a', 1, 20 + retryAfter).tokens, 1);
});
