/**
 * Results of requests as the caller sees them.
 */

/** How a request ended for its caller. */
export type OutcomeKind =
  /** Complete answer within the deadline. */
  | 'ok'
  /** Complete answer after the deadline. */
  | 'late'
  /** Explicit failure; `failureCode` has its number. */
  | 'failure'
  /** The connection broke in the middle of the answer, so that the caller knows that it is cut. */
  | 'cut'
  /** The answer ended as a complete one does, but a part of it was missing. */
  | 'truncated'
  /** The answer belongs to another request, or the upload arrived changed. */
  | 'foreign'
  /** The connection was refused or broke before the answer began. */
  | 'no-answer'
  /** The caller gave up before the answer was complete. */
  | 'gave-up';

/** What an answer states about the execution; undefined without an answer that states it. */
export type ToldExecution = 'ran' | 'not-run' | 'not-known' | undefined;

/** The result of one HTTP exchange. */
export interface AttemptResult {
  readonly kind: OutcomeKind;
  readonly status: number | undefined;
  /** Number of the result code, or the HTTP status as `http-500` when the answer has none. */
  readonly failureCode: string | undefined;
  readonly told: ToldExecution;
  /** Key that the answer carries. */
  readonly idempotencyKey: string | undefined;
  readonly requestId: string | undefined;
}

/** The result of one request of the load, with all its attempts. */
export interface RequestOutcome extends AttemptResult {
  readonly className: string;
  /** Intended start, in milliseconds after the start of the load. */
  readonly intendedAt: number;
  /** From the intended start to the end of the answer. */
  readonly latencyMilliseconds: number;
  readonly attempts: number;
}

/** One HTTP exchange of a load, as its caller and its target know it. */
export interface AttemptObservation extends AttemptResult {
  readonly className: string;
  /** The target that the exchange was sent to. */
  readonly target: string;
  /** Key that the exchange was sent with. */
  readonly sentKey: string | undefined;
  /** Milliseconds after the start of the load. */
  readonly startedAt: number;
  readonly endedAt: number;
}

/** One thing that a caller was told about a key. */
export interface KeyStatement {
  readonly kind: OutcomeKind;
  readonly told: ToldExecution;
  readonly failureCode: string | undefined;
  /** Id of the exchange; executions of exactly this attempt carry it. */
  readonly requestId: string | undefined;
  readonly atMilliseconds: number;
}

/** Everything that the caller was told about one idempotency key. */
export interface KeyRecord {
  readonly key: string;
  readonly className: string;
  readonly statements: KeyStatement[];
}
