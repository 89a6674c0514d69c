import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fastCheck from 'fast-check';
import * as results from '@dogwoodstall/results';
import * as idempotency from '../src/index.js';

const SEED = 20_261_204;
const KEYS = 3;

const issuer = new idempotency.KeyIssuer({ fleetKeys: [Buffer.alloc(32, 1)] });
const response = { status: 200, headers: [], body: '' };

const weights = {
  submit: 8,
  begin: 6,
  ran: 2,
  proved: 2,
  lost: 1,
  seal: 1,
  install: 2,
  activate: 2,
  complete: 2,
  crash: 1,
  late: 1,
} as const;

const actionArbitrary = fastCheck.record({
  kind: fastCheck.oneof(
    ...Object.entries(weights).map(([kind, weight]) => ({
      weight,
      arbitrary: fastCheck.constant(kind),
    })),
  ),
  pick: fastCheck.nat(23),
});

interface Attempt {
  readonly key: number;
  readonly permit: idempotency.ExecutionPermit;
  begun: boolean;
  ended: boolean;
  resolve(response: idempotency.RecordedResponse): void;
  reject(error: Error): void;
}

/** Three homes; the records of the first are transferred to one of the others. */
class Model {
  readonly completions: idempotency.CompleteRecord[] = [];

  readonly homes = ['a-1', 'b-1', 'c-1'].map(
    (incarnation) =>
      new idempotency.KeyHome({
        incarnation,
        onCompletedAfterSeal: (message) => this.completions.push(message),
      }),
  );

  readonly keys = Array.from({ length: KEYS }, () =>
    issuer.verify(
      issuer.issue({
        home: 'a',
        incarnation: 'a-1',
        organisation: 'o',
        service: 's',
        lifetimeMilliseconds: 60_000,
      }),
    ),
  );

  /** Transmissions of each key without a proof that they did not run. */
  readonly executions = Array.from({ length: KEYS }, () => 0);

  readonly attempts: Attempt[] = [];

  private crashed = false;

  private exported: idempotency.InstallRecords | undefined;

  private successor: idempotency.KeyHome | undefined;

  async apply(kind: string, pick: number): Promise<void> {
    const open = this.attempts.filter((attempt) => !attempt.ended && !this.isDead(attempt));
    const attempt = open[pick % Math.max(1, open.length)];
    const other = this.homes[1 + (pick % 2)] as idempotency.KeyHome;
    if (kind === 'submit') {
      this.submit(pick);
    } else if (kind === 'seal') {
      this.homes[0]?.seal();
      this.exported ??= this.homes[0]?.exportRecords()[0];
    } else if (kind === 'install' && this.exported !== undefined) {
      other.installRecords(idempotency.installRecordsSchema.parse(this.exported));
    } else if (kind === 'activate' && this.exported !== undefined) {
      this.activate(other);
    } else if (kind === 'complete' && this.successor !== undefined) {
      const message = this.completions[pick % Math.max(1, this.completions.length)];
      if (message !== undefined) {
        this.successor.completeRecord(message);
      }
    } else if (kind === 'crash' && this.exported !== undefined) {
      this.crashed = true;
      for (const home of this.homes.slice(1)) {
        home.markOriginLost('a-1');
      }
    } else if (kind === 'late') {
      this.beginLate(pick);
    } else if (attempt !== undefined) {
      this.advance(attempt, kind);
    }
    await new Promise(setImmediate);
  }

  private readonly homeOf = new Map<Attempt, idempotency.KeyHome>();

  private isDead(attempt: Attempt): boolean {
    return this.crashed && this.homeOf.get(attempt) === this.homes[0];
  }

  private submit(pick: number): void {
    const home = this.homes[Math.max(0, (pick % 4) - 1)] as idempotency.KeyHome;
    if (this.crashed && home === this.homes[0]) {
      return;
    }
    const key = this.keys[Math.floor(pick / 4) % KEYS] as idempotency.KeyContents;
    home
      .run({ key, fingerprint: 'f', signal: new AbortController().signal }, (permit) =>
        this.open(home, key, permit),
      )
      .catch(() => {});
  }

  private open(
    home: idempotency.KeyHome,
    key: idempotency.KeyContents,
    permit: idempotency.ExecutionPermit,
  ): Promise<idempotency.RecordedResponse> {
    return new Promise((resolve, reject) => {
      const index = this.keys.indexOf(key);
      const attempt = { key: index, permit, begun: false, ended: false, resolve, reject };
      this.attempts.push(attempt);
      this.homeOf.set(attempt, home);
    });
  }

  private begin(attempt: Attempt): void {
    attempt.permit.begin();
    this.executions[attempt.key] = (this.executions[attempt.key] ?? 0) + 1;
    Object.assign(attempt, { begun: true });
  }

  private advance(attempt: Attempt, kind: string): void {
    if (kind === 'begin' && !attempt.begun) {
      this.begin(attempt);
    } else if (kind === 'ran' && attempt.begun) {
      Object.assign(attempt, { ended: true });
      attempt.resolve(response);
    } else if (kind === 'proved' || kind === 'lost') {
      if (kind === 'proved' && attempt.begun) {
        attempt.permit.proveNotRun();
        this.executions[attempt.key] = (this.executions[attempt.key] ?? 0) - 1;
      }
      Object.assign(attempt, { ended: true });
      attempt.reject(new results.FailureError('BackendReset'));
    }
  }

  private activate(home: idempotency.KeyHome): void {
    // The sender activates at one peer only; see `RecordTransfer`.
    const target = this.successor ?? home;
    const { origin, epoch, records } = this.exported as idempotency.InstallRecords;
    try {
      target.activateRecords({ origin, epoch, recordCount: records.length });
      this.successor = target;
    } catch (error) {
      assert.ok(results.isFailure(error, 'HandoverStale'));
    }
  }

  private beginLate(pick: number): void {
    const ended = this.attempts.filter((attempt) => attempt.ended);
    const attempt = ended[pick % Math.max(1, ended.length)];
    if (attempt !== undefined) {
      assert.throws(() => attempt.permit.begin(), 'a transmission started after its attempt ended');
    }
  }
}

test('no interleaving of attempts, crashes and transfer messages runs a key twice', async () => {
  let transmissions = 0;
  let transferred = 0;
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.array(actionArbitrary, { minLength: 5, maxLength: 60, size: 'max' }),
      async (actions) => {
        const model = new Model();
        for (const { kind, pick } of actions) {
          await model.apply(kind, pick);
          for (const executions of model.executions) {
            assert.ok(executions <= 1, `a key was executed ${executions} times`);
          }
        }
        transmissions += model.attempts.filter((attempt) => attempt.begun).length;
        transferred += model.homes.slice(1).some((home) => home.activeIncarnations.length > 1)
          ? 1
          : 0;
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
  // Guards against a vacuous pass: the runs must include transmissions and completed transfers.
  assert.ok(
    transmissions > 500 && transferred > 100,
    `${transmissions} transmissions, ${transferred} transfers`,
  );
});
