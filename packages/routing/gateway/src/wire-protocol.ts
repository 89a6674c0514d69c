/**
 * The header names and response semantics that a platform supplies to the gateway, which itself knows none of them.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Announcement } from '@dogwoodstall/traffic';

/** How the gateway treats a response from an endpoint. */
export type ResponseClassification =
  /** The endpoint processed the request; the response is forwarded to the caller. */
  | { readonly kind: 'answer' }
  /** The endpoint reports that it did not run the request. */
  | { readonly kind: 'not-run' }
  /** The daemon that should have sent the request to an endpoint has not done so. */
  | { readonly kind: 'not-arrived' }
  /** Another process now listens on the address of the endpoint; the request was not run. */
  | { readonly kind: 'misdirected' }
  /** The response belongs to another request or was not produced by the endpoint itself. */
  | { readonly kind: 'foreign' };

/** Properties of an attempt that are sent to the endpoint in headers. */
export interface AttemptContext {
  readonly requestId: string | undefined;
  readonly endpoint: string;
  readonly remainingMilliseconds: number;
  /** Name of the organisation that the caller belongs to, if its token told one. */
  readonly organisation?: string | undefined;
}

/** The platform-specific part of request and response handling. */
export interface WireProtocol {
  /** Lower-case names of request headers that the gateway replaces or that callers may not set. */
  readonly ownedRequestHeaders: ReadonlySet<string>;
  /** Lower-case names of the headers that carry tokens and organisations, which callers may not set for endpoints. */
  readonly organisationHeaders: ReadonlySet<string>;
  readonly requestIdHeader: string;
  readonly retryAfterHeader: string;
  /** Path of the readiness check. */
  readonly readinessPath: string;
  /** Reads how many milliseconds the caller will wait; undefined when it does not specify a deadline. */
  readonly readDeadline: (headers: IncomingHttpHeaders) => number | undefined;
  /** Reads the token of the caller; undefined when there is none, or several. */
  readonly readToken: (headers: NodeJS.Dict<string[]>) => string | undefined;
  /** Returns the headers added to an attempt, as a flat list of names and values. */
  readonly listAttemptHeaders: (context: AttemptContext) => string[];
  readonly classifyResponse: (
    status: number,
    headers: IncomingHttpHeaders,
    context: AttemptContext,
  ) => ResponseClassification;
  /** Reads the number of running and queued requests that the endpoint reports; undefined when it reports none. */
  readonly readLoad: (headers: IncomingHttpHeaders) => number | undefined;
  /** Reads what the endpoint announces about itself; values that can't be read announce nothing. */
  readonly readAnnouncement: (status: number, headers: IncomingHttpHeaders) => Announcement;
  /** Returns the headers, each as `name: value`, that should announce something and can't be read. */
  readonly listUnreadableAnnouncements: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => readonly string[];
  /** Formats the delay after which a rejected caller may retry. */
  readonly formatRetryAfter: (milliseconds: number) => string;
}
