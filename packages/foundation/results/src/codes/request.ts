/**
 * Result codes 2000 to 2999: a caller's request that is malformed or not permitted.
 */
import { defineResult } from '../definition.js';

export const requestResults = {
  RequestMalformed: defineResult(2001, 400, 'not-run', 'The request is not valid HTTP/1.1.'),
  RequestAmbiguousLength: defineResult(
    2002,
    400,
    'not-run',
    'The request carries contradicting or repeated length headers.',
  ),
  RequestHeadersTooLarge: defineResult(
    2003,
    431,
    'not-run',
    'The request header block exceeds the limit.',
  ),
  RequestHostInvalid: defineResult(
    2004,
    400,
    'not-run',
    'The Host header is missing, repeated or invalid.',
  ),
  RequestBodyTooLarge: defineResult(
    2005,
    413,
    'not-run',
    'The request body exceeds the limit of the route.',
  ),
  RequestTooSlow: defineResult(
    2006,
    408,
    'not-run',
    'The request headers or body arrived too slowly.',
  ),
  RouteUnknown: defineResult(2007, 404, 'not-run', 'No route matches host, path and method.'),
  OrganisationUnknown: defineResult(
    2008,
    401,
    'not-run',
    'The organisation token is missing or unknown.',
  ),
  MethodUnsupported: defineResult(
    2009,
    501,
    'not-run',
    'The method or the protocol upgrade is not supported.',
  ),
  RequestBodyIncomplete: defineResult(
    2010,
    400,
    'not-known',
    'The caller ended the request body early.',
  ),
  ForwardLoop: defineResult(
    2011,
    508,
    'not-run',
    'The request passed more daemons than the hop limit allows.',
  ),
  DaemonFull: defineResult(
    2012,
    503,
    'not-run',
    'The daemon has as many requests in flight as its settings allow.',
  ),
  OrganisationShareExceeded: defineResult(
    2013,
    429,
    'not-run',
    'The organisation holds its whole share of the requests in flight at this daemon.',
  ),
} as const;
