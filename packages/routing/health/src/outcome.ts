/**
 * The outcome of one attempt, from which the health of a backend server is derived.
 */

/** Kinds of attempt outcomes. */
export type OutcomeKind =
  | 'success'
  /** A response with a status of 500 or above that doesn't report shed load. */
  | 'server-error'
  /** No response before the deadline of the attempt. */
  | 'timeout'
  /** The connection was refused or not established in time; the request was not executed. */
  | 'refused'
  /** The connection was reset before the response started. */
  | 'reset'
  /** The response was truncated. */
  | 'cut-answer'
  /** The backend server reported that it did not execute the request. */
  | 'shed'
  /** The caller cancelled the request, which is no evidence about the backend server. */
  | 'cancelled';

/** The load that a backend server reports on a response (ORCA `endpoint-load-metrics`). */
export interface ReportedLoad {
  /** Requests that the server is executing. */
  readonly inFlight: number;
  /** Requests in the server's own queue. */
  readonly queued: number;
}

/** The outcome of one attempt. */
export interface AttemptOutcome {
  readonly kind: OutcomeKind;
  readonly routeName: string;
  readonly organisation: string;
  /** Time from sending the request to the first byte of the response. */
  readonly milliseconds: number;
  readonly status?: number | undefined;
  readonly reportedLoad?: ReportedLoad | undefined;
  /** Whether the backend server reported on the response that it is draining. */
  readonly draining: boolean;
  /** Whether the server refused a new connection after a reset, which shows a lost process. */
  readonly refusedAfterwards?: boolean | undefined;
}
