/**
 * Requests that are withdrawn while they wait for tokens.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as grants from '../src/index.js';

const ORGANISATION = 'acme';
/** Longer than a request waits for a keeper that does not respond. */
const WAIT_MILLISECONDS = 2000;
const TICK_MILLISECONDS = 50;

interface SentMessage {
  readonly to: string;
  readonly message: grants.UsageMessage;
}

/** An agent that borrows from another daemon, whose responses the test writes. */
class Borrower {
  readonly sent: SentMessage[] = [];

  readonly admissions: grants.UsageAdmission[] = [];

  private now = 100_000;

  private readonly agent = new grants.UsageAgent({
    self: 'borrower',
    startedAt: this.now,
    rank: () => ['keeper', 'borrower'],
    findLimit: () => ({ requestsPerSecond: 10, burst: 10 }),
    tolerance: () => ({ windowMilliseconds: 5000, overage: 0.1, slack: 20 }),
    send: (to, message) => this.sent.push({ to, message }),
    checkEnded: () => {},
    now: () => this.now,
  });

  admit(): () => void {
    return this.agent.admit(ORGANISATION, (admission) => this.admissions.push(admission));
  }

  pass(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
      this.now += TICK_MILLISECONDS;
      this.agent.tick();
    }
  }

  get borrowCount(): number {
    return this.sent.filter(({ message }) => message.kind === 'borrow').length;
  }

  /** Responds to the last request for tokens. */
  lend(tokens: number): void {
    const { to, message } = this.sent.findLast((sent) => sent.message.kind === 'borrow') ?? {};
    assert.ok(to !== undefined && message?.kind === 'borrow');
    this.agent.receive(to, {
      kind: 'lend',
      sequence: message.sequence,
      organisation: ORGANISATION,
      tokens,
      retryAfter: 0,
      settling: false,
      share: 1,
    });
  }
}

// Guards against refusals of callers that wait, for the sake of others that have left.
test('a withdrawn request leaves its place to another one', () => {
  const borrower = new Borrower();
  const withdrawals: (() => void)[] = [];
  while (borrower.admissions.length === 0) {
    withdrawals.push(borrower.admit());
  }
  assert.equal(borrower.admissions[0]?.kind, 'refused', 'no more may wait');
  withdrawals.forEach((withdraw) => withdraw());
  borrower.admit();
  assert.equal(borrower.admissions.length, 1, 'waits');
  borrower.lend(1);
  assert.deepEqual(
    borrower.admissions.map(({ kind }) => kind),
    ['refused', 'admitted'],
  );
});

// Guards against usage that is counted for requests that are not run.
test('a token that was lent for a withdrawn request is used by the next one', () => {
  const borrower = new Borrower();
  borrower.admit()();
  borrower.pass(TICK_MILLISECONDS);
  borrower.lend(1);
  borrower.admit();
  assert.deepEqual(
    borrower.admissions.map(({ kind }) => kind),
    ['admitted'],
  );
  assert.equal(borrower.borrowCount, 1);
});

// Guards against requests for tokens, and against ticks, that nobody needs.
test('nothing is borrowed or decided for a withdrawn request', () => {
  const borrower = new Borrower();
  const withdraw = borrower.admit();
  withdraw();
  withdraw();
  borrower.pass(WAIT_MILLISECONDS);
  assert.deepEqual(borrower.admissions, []);
  assert.equal(borrower.borrowCount, 1);
});
