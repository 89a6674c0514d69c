/**
 * What a platform decides about requests and answers on the wire. The gateway knows none of its names.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** What an answer of an endpoint is worth. */
export type AnswerVerdict =
  /** The endpoint processed the request; the answer goes to the caller. */
  | { readonly kind: 'answer' }
  /** The endpoint states that it did not run the request. */
  | { readonly kind: 'not-run' }
  /** Another process has the address of the endpoint; the request was not run. */
  | { readonly kind: 'misdirected' }
  /** The answer belongs to another request or is not the endpoint's own. */
  | { readonly kind: 'foreign' };

/** Facts of an attempt that the endpoint is told. */
export interface AttemptFacts {
  readonly requestId: string | undefined;
  readonly endpoint: string;
  readonly remainingMilliseconds: number;
}

/** The platform's part of a request. */
export interface WireContract {
  /** Lower-case names of request headers that the gateway writes anew or that callers may not set. */
  readonly ownedRequestHeaders: ReadonlySet<string>;
  readonly requestIdHeader: string;
  readonly retryAfterHeader: string;
  /** Path of the readiness check. */
  readonly readinessPath: string;
  /** Milliseconds that the caller will wait; undefined when it does not say. */
  readonly readDeadline: (headers: IncomingHttpHeaders) => number | undefined;
  /** Headers of an attempt, as a flat list of names and values. */
  readonly listAttemptHeaders: (facts: AttemptFacts) => string[];
  readonly judgeAnswer: (
    status: number,
    headers: IncomingHttpHeaders,
    facts: AttemptFacts,
  ) => AnswerVerdict;
  /** Running and waiting requests that the endpoint told; undefined when it told nothing. */
  readonly readLoad: (headers: IncomingHttpHeaders) => number | undefined;
  /** Formats the time after which a refused caller may come back. */
  readonly formatRetryAfter: (milliseconds: number) => string;
}
