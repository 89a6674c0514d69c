/**
 * Outcomes of requests as the caller observes them.
 */

/** Outcome of a request for its caller. */
export type OutcomeKind =
  /** Complete response within the deadline. */
  | 'ok'
  /** Complete response after the deadline. */
  | 'late'
  /** Error response; `failureCode` contains its code. */
  | 'failure'
  /** The connection broke during the response, so that the caller detects that it is incomplete. */
  | 'cut'
  /** The response ended regularly although a part of it is missing. */
  | 'truncated'
  /** The response belongs to another request, or the upload was corrupted. */
  | 'foreign'
  /** The connection was refused or broke before the response headers arrived. */
  | 'no-answer'
  /** The caller timed out before the response was complete. */
  | 'gave-up';

/** Execution state that a response reports; undefined when there is no response or it reports none. */
export type ReportedExecution = 'ran' | 'not-run' | 'not-known' | undefined;

/** The result of one HTTP exchange. */
export interface AttemptResult {
  readonly kind: OutcomeKind;
  readonly status: number | undefined;
  /** Number of the result code, or the HTTP status such as `http-500` when the response has no code. */
  readonly failureCode: string | undefined;
  readonly reportedExecution: ReportedExecution;
  /** Idempotency key in the response headers. */
  readonly idempotencyKey: string | undefined;
  readonly requestId: string | undefined;
}

/** Outcome of one request of the load, over all its attempts. */
export interface RequestOutcome extends AttemptResult {
  readonly className: string;
  /** Intended start, in milliseconds after the start of the load. */
  readonly intendedAt: number;
  /** Time from the intended start to the end of the last response. */
  readonly latencyMilliseconds: number;
  readonly attempts: number;
}

/** One HTTP exchange of a load, with its target and its times. */
export interface AttemptObservation extends AttemptResult {
  readonly className: string;
  /** Address of the target that received the request. */
  readonly target: string;
  /** Idempotency key in the request headers. */
  readonly sentKey: string | undefined;
  /** Milliseconds after the start of the load. */
  readonly startedAt: number;
  readonly endedAt: number;
}

/** Outcome of one attempt with an idempotency key, as the caller observed it. */
export interface KeyObservation {
  readonly kind: OutcomeKind;
  readonly reportedExecution: ReportedExecution;
  readonly failureCode: string | undefined;
  /** Request id of this attempt; only its own executions are logged under this id. */
  readonly requestId: string | undefined;
  readonly atMilliseconds: number;
}

/** All outcomes that the caller observed for one idempotency key. */
export interface KeyRecord {
  readonly key: string;
  readonly className: string;
  readonly observations: KeyObservation[];
}
