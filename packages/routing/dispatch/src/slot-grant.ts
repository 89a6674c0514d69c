/**
 * The slot that a request holds. Releasing it reports the outcome of the attempt to the health
 * tracking and the crash guard.
 */
import type { AttemptResult, CrashGuard } from '@dogwoodstall/crash-guard';
import type { AttemptOutcome, CellHealth, OutcomeKind } from '@dogwoodstall/health';
import type { BackendServer } from '@dogwoodstall/model';
import type { SlotGrant } from './request.js';
import type { Waiter } from './waiter.js';

const attemptResults: Partial<Record<OutcomeKind, AttemptResult>> = {
  success: 'answered',
  'server-error': 'answered',
  shed: 'answered',
  'cut-answer': 'reset',
  reset: 'reset',
  refused: 'refused',
};

function toAttemptResult(outcome: AttemptOutcome): AttemptResult {
  return outcome.refusedAfterwards === true ? 'lost' : (attemptResults[outcome.kind] ?? 'other');
}

/** Options of `createGrant`. */
export interface GrantOptions {
  readonly waiter: Waiter;
  readonly server: BackendServer;
  readonly grantedAt: number;
  readonly health: CellHealth;
  readonly crashGuard: CrashGuard | undefined;
  readonly onRelease: (outcome: AttemptOutcome) => void;
}

/** Records the start of an attempt and returns the grant whose release records its outcome. */
export function createGrant(options: GrantOptions): SlotGrant {
  const { waiter, server, grantedAt, health, crashGuard, onRelease } = options;
  const { request } = waiter;
  const attempt = health.startAttempt(server.name, request);
  const trackedAttempt =
    request.fingerprint && crashGuard?.startAttempt(server.name, request.fingerprint);
  let released = false;
  return {
    endpoint: server,
    queuedMilliseconds: grantedAt - waiter.enteredAt,
    release: (outcome) => {
      if (released) {
        return;
      }
      released = true;
      health.finishAttempt(attempt, outcome);
      const result = toAttemptResult(outcome);
      if (
        trackedAttempt !== undefined &&
        crashGuard?.finishAttempt(trackedAttempt, result) === true
      ) {
        health.markLost(server.name);
      }
      onRelease(outcome);
    },
  };
}
