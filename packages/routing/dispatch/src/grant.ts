/**
 * The slot that a request holds: reports its outcome to health and to the crash guard.
 */
import type { AttemptEnd, CrashGuard } from '@dogwoodstall/crash-guard';
import type { AttemptOutcome, CellHealth, OutcomeKind } from '@dogwoodstall/health';
import type { BackendServer } from '@dogwoodstall/model';
import type { SlotGrant } from './request.js';
import type { Waiter } from './waiter.js';

const attemptEnds: Partial<Record<OutcomeKind, AttemptEnd>> = {
  success: 'answered',
  'server-error': 'answered',
  shed: 'answered',
  'cut-answer': 'reset',
  reset: 'reset',
  refused: 'refused',
};

function findAttemptEnd(outcome: AttemptOutcome): AttemptEnd {
  return outcome.refusedAfterwards === true ? 'lost' : (attemptEnds[outcome.kind] ?? 'other');
}

/** What a grant needs of its dispatcher. */
export interface GrantOptions {
  readonly waiter: Waiter;
  readonly server: BackendServer;
  readonly grantedAt: number;
  readonly health: CellHealth;
  readonly crashGuard: CrashGuard | undefined;
  readonly onRelease: (outcome: AttemptOutcome) => void;
}

/** Registers an attempt and returns the grant that ends it. */
export function createGrant(options: GrantOptions): SlotGrant {
  const { waiter, server, grantedAt, health, crashGuard, onRelease } = options;
  const { request } = waiter;
  const attempt = health.startAttempt(server.name, request);
  const guarded = request.fingerprint && crashGuard?.started(server.name, request.fingerprint);
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
      const end = findAttemptEnd(outcome);
      if (guarded !== undefined && crashGuard?.finished(guarded, end) === true) {
        health.markLost(server.name);
      }
      onRelease(outcome);
    },
  };
}
