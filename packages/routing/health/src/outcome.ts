/**
 * The outcome of one attempt at a backend server, as the evidence about its health.
 */

/** How an attempt ended. */
export type OutcomeKind =
  | 'success'
  /** Answer with a status of 500 or above that is no statement of shed load. */
  | 'server-error'
  /** No answer before the deadline of the attempt. */
  | 'timeout'
  /** The connection was refused or not established in time; the request was not run. */
  | 'refused'
  /** The connection broke before the answer. */
  | 'reset'
  /** The answer ended before its announced end. */
  | 'cut-answer'
  /** The backend server stated that it did not run the request. */
  | 'shed'
  /** The caller went away; no statement about the backend server. */
  | 'cancelled';

/** The load that a backend server reports on an answer (ORCA `endpoint-load-metrics`). */
export interface ReportedLoad {
  /** Requests that it runs now. */
  readonly inFlight: number;
  /** Requests that wait in its own queue. */
  readonly queued: number;
}

/** The outcome of one attempt. */
export interface AttemptOutcome {
  readonly kind: OutcomeKind;
  readonly routeName: string;
  readonly organisation: string;
  /** From sending the request to the first byte of the answer. */
  readonly milliseconds: number;
  readonly status?: number | undefined;
  readonly reportedLoad?: ReportedLoad | undefined;
  /** The backend server said on the answer that it drains. */
  readonly draining: boolean;
  /** After a broken connection: the server refused a new one, which shows that its process is gone. */
  readonly refusedAfterwards?: boolean | undefined;
}
