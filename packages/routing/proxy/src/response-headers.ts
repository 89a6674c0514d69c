/**
 * The headers of a response that is forwarded to a caller.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { BACKEND_RESPONSE_RESULT } from './failure-response.js';
import type { Exchange } from './exchange.js';
import { EXECUTION_HEADER, RESULT_HEADER, selectResponseHeaders } from './headers.js';

/** Combines the headers of a backend server's response with those that the fleet adds. */
export function composeResponseHeaders(
  exchange: Exchange,
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const selected: OutgoingHttpHeaders = selectResponseHeaders(headers);
  selected[RESULT_HEADER] = BACKEND_RESPONSE_RESULT;
  selected[EXECUTION_HEADER] = 'ran';
  selected['Request-Id'] = exchange.context.requestId;
  return selected;
}
