import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import * as idempotency from '../src/index.js';

const issuer = new idempotency.KeyIssuer({ fleetKeys: [Buffer.alloc(32, 1)] });
const response = { status: 200, headers: [], body: 'b2s=' };
const { signal } = new AbortController();

function issue(lifetimeMilliseconds = 60_000): idempotency.KeyContents {
  const organisation = 'sertao';
  const key = { home: 'a', incarnation: 'a-1', organisation, service: 's', lifetimeMilliseconds };
  return issuer.verify(issuer.issue(key));
}

function use(key: idempotency.KeyContents, fingerprint = 'f'): idempotency.KeyUse {
  return { key, fingerprint, signal };
}

async function getFailureKind(work: Promise<unknown>): Promise<string> {
  return work.then(
    () => 'none',
    (error: unknown) => results.toFailure(error).kind,
  );
}

const respond: idempotency.KeyAttempt = async (permit) => {
  permit.begin();
  return response;
};

test('concurrent resends wait for the single attempt and get its response', async () => {
  const home = new idempotency.KeyHome({ incarnation: 'a-1' });
  const key = issue();
  let runs = 0;
  let finish = (): void => {};
  const attempt: idempotency.KeyAttempt = (permit) => {
    permit.begin();
    runs += 1;
    return new Promise((resolve) => {
      finish = () => resolve(response);
    });
  };
  const uses = [home.run(use(key), attempt), home.run(use(key), attempt)];
  finish();
  assert.deepEqual(await Promise.all(uses), [
    { source: 'attempt' },
    { source: 'record', answer: response },
  ]);
  assert.equal(runs, 1);
});

test('an attempt that may have run is never repeated, and one that is proved not run may be', async () => {
  const home = new idempotency.KeyHome({ incarnation: 'a-1' });
  const proved = issue();
  const refuse: idempotency.KeyAttempt = async (permit) => {
    permit.begin();
    permit.proveNotRun();
    throw new results.FailureError('BackendRefused');
  };
  assert.equal(await getFailureKind(home.run(use(proved), refuse)), 'BackendRefused');
  assert.deepEqual(await home.run(use(proved), respond), { source: 'attempt' });
  const lost = issue();
  const reset: idempotency.KeyAttempt = async (permit) => {
    permit.begin();
    throw new results.FailureError('BackendRefused');
  };
  assert.equal(await getFailureKind(home.run(use(lost), reset)), 'BackendRefused');
  assert.equal(await getFailureKind(home.run(use(lost), respond)), 'OutcomeNotKnown');
});

test('another request with a used key fails', async () => {
  const home = new idempotency.KeyHome({ incarnation: 'a-1' });
  const key = issue();
  await home.run(use(key), respond);
  assert.equal(await getFailureKind(home.run(use(key, 'other'), respond)), 'KeyReused');
});

test('an expired key never runs, also when the clock is set back after its record was dropped', async () => {
  let now = Date.now();
  const home = new idempotency.KeyHome({ incarnation: 'a-1', epochNow: () => now });
  const key = issue(1000);
  await home.run(use(key), respond);
  now += 5000;
  await home.run(use(issue(60_000)), respond);
  assert.equal(home.recordCount, 1);
  now -= 5000;
  assert.equal(await getFailureKind(home.run(use(key), respond)), 'KeyExpired');
});

test('a full key home rejects new keys and drops no record', async () => {
  const home = new idempotency.KeyHome({ incarnation: 'a-1', maximumRecords: 1 });
  const key = issue();
  await home.run(use(key), respond);
  assert.equal(await getFailureKind(home.run(use(issue()), respond)), 'KeyRecordsFull');
  assert.deepEqual(await home.run(use(key), respond), { source: 'record', answer: response });
});

test('a resend fails with AnswerNotKept when the response was not stored, and does not run again', async () => {
  const home = new idempotency.KeyHome({ incarnation: 'a-1', maximumResponseBytes: 1 });
  const key = issue();
  await home.run(use(key), respond);
  assert.equal(await getFailureKind(home.run(use(key), respond)), 'AnswerNotKept');
});

test('a transmission after the end of its attempt throws and is reported as a violation', async () => {
  const home = new idempotency.KeyHome({ incarnation: 'a-1' });
  let late: idempotency.ExecutionPermit | undefined;
  const attempt: idempotency.KeyAttempt = async (permit) => {
    late = permit;
    throw new results.FailureError('QueueFull');
  };
  assert.equal(await getFailureKind(home.run(use(issue()), attempt)), 'QueueFull');
  const before = results.getViolationCounts().get('ExecutedAfterNotRun') ?? 0;
  assert.throws(() => late?.begin());
  assert.equal(results.getViolationCounts().get('ExecutedAfterNotRun'), before + 1);
});

test('a second transmission without proof that the first did not run is a reported violation', async () => {
  const home = new idempotency.KeyHome({ incarnation: 'a-1' });
  const before = results.getViolationCounts().get('ExecutedTwice') ?? 0;
  const attempt: idempotency.KeyAttempt = async (permit) => {
    permit.begin();
    permit.begin();
    return response;
  };
  assert.equal(await getFailureKind(home.run(use(issue()), attempt)), 'ExecutedTwice');
  assert.equal(results.getViolationCounts().get('ExecutedTwice'), before + 1);
});

test('lost acknowledgements of a transfer never lead to a second key home', async () => {
  const source = new idempotency.KeyHome({ incarnation: 'a-1' });
  const key = issue();
  await source.run(use(key), respond);
  const homes = ['b', 'c'].map((name) => new idempotency.KeyHome({ incarnation: `${name}-1` }));
  const peers = homes.map((home, index) => ({
    name: index === 0 ? 'b' : 'c',
    install: async (message: idempotency.InstallRecords) => home.installRecords(message),
    // The activation is applied, and its acknowledgement is lost.
    activate: async (message: idempotency.ActivateRecords) => {
      home.activateRecords(message);
      throw new Error('connection reset');
    },
    complete: async (message: idempotency.CompleteRecord) => home.completeRecord(message),
  }));
  const announced: string[] = [];
  const transfer = new idempotency.RecordTransfer({
    home: source,
    peers,
    announce: (peer, incarnations) => announced.push(peer, ...incarnations),
    attempts: 2,
    retryMilliseconds: 1,
  });
  assert.deepEqual(await transfer.run(), { peer: 'b', acknowledged: false });
  assert.deepEqual(announced, ['b', 'a-1']);
  const [b, c] = homes as [idempotency.KeyHome, idempotency.KeyHome];
  assert.deepEqual(await b.run(use(key), respond), { source: 'record', answer: response });
  assert.equal(await getFailureKind(c.run(use(key), respond)), 'KeyHomeLost');
  assert.equal(await getFailureKind(source.run(use(issue()), respond)), 'KeyHomeMoving');
});

test('a record transferred as running is completed later, or becomes not-known when its origin is lost', async () => {
  const origin = new idempotency.KeyHome({ incarnation: 'a-1' });
  const keys = [issue(), issue()] as [idempotency.KeyContents, idempotency.KeyContents];
  const finishes: (() => void)[] = [];
  const messages: idempotency.CompleteRecord[] = [];
  const home = new idempotency.KeyHome({
    incarnation: 'a-1',
    onCompletedAfterSeal: (message) => messages.push(message),
  });
  assert.throws(() => origin.exportRecords());
  for (const key of keys) {
    home.run(use(key), (permit) => {
      permit.begin();
      return new Promise((resolve) => {
        finishes.push(() => resolve(response));
      });
    });
  }
  home.seal();
  const successor = new idempotency.KeyHome({ incarnation: 'b-1' });
  for (const message of home.exportRecords()) {
    const { origin: name, epoch, records } = message;
    successor.installRecords(message);
    assert.equal(await getFailureKind(successor.run(use(keys[0]), respond)), 'KeyHomeMoving');
    successor.activateRecords({ origin: name, epoch, recordCount: records.length });
  }
  const waiting = successor.run(use(keys[0]), respond);
  finishes[0]?.();
  await new Promise(setImmediate);
  for (const message of [...messages, ...messages]) {
    successor.completeRecord(idempotency.completeRecordSchema.parse(message));
  }
  assert.deepEqual(await waiting, { source: 'record', answer: response });
  successor.markOriginLost('a-1');
  assert.equal(await getFailureKind(successor.run(use(keys[1]), respond)), 'OutcomeNotKnown');
});

test('a late transfer message does not end an attempt that the new key home started', async () => {
  const messages: idempotency.CompleteRecord[] = [];
  const source = new idempotency.KeyHome({
    incarnation: 'a-1',
    onCompletedAfterSeal: (message) => messages.push(message),
  });
  const keys = [issue(), issue()] as [idempotency.KeyContents, idempotency.KeyContents];
  const refused = (): Promise<never> => Promise.reject(new results.FailureError('BackendRefused'));
  await getFailureKind(source.run(use(keys[0]), refused));
  let refuse = (): void => {};
  const running = source.run(
    use(keys[1]),
    () =>
      new Promise((_resolve, reject) => {
        refuse = () => reject(new results.FailureError('BackendRefused'));
      }),
  );
  source.seal();
  const [installed] = source.exportRecords() as [idempotency.InstallRecords];
  refuse();
  await getFailureKind(running);
  const successor = new idempotency.KeyHome({ incarnation: 'b-1' });
  const { origin, epoch } = installed;
  successor.installRecords(installed);
  successor.activateRecords({ origin, epoch, recordCount: 2 });
  const deliver = (): void => {
    successor.installRecords(installed);
    for (const message of messages) {
      successor.completeRecord(message);
    }
  };
  deliver();
  let runs = 0;
  const never: idempotency.KeyAttempt = (permit) => {
    permit.begin();
    runs += 1;
    return new Promise(() => {});
  };
  for (const key of [...keys, ...keys]) {
    successor.run(use(key), never).catch(() => {});
    deliver();
  }
  assert.equal(runs, 2);
});
