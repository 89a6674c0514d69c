/**
 * The headers of a response that passes through the fleet.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { BACKEND_RESPONSE_RESULT } from './failure-response.js';
import type { Exchange } from './exchange.js';
import { EXECUTION_HEADER, RESULT_HEADER, selectResponseHeaders } from './headers.js';

/** Returns a backend server's headers with those of the fleet. */
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
