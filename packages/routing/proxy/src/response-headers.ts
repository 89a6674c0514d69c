/**
 * The headers of an answer that passes through the fleet.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { ANSWERED } from './failure-response.js';
import type { Exchange } from './exchange.js';
import { EXECUTION, RESULT, selectAnswerHeaders } from './headers.js';

/** Returns a backend server's headers with those of the fleet. */
export function composeAnswerHeaders(
  exchange: Exchange,
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const selected: OutgoingHttpHeaders = selectAnswerHeaders(headers);
  selected[RESULT] = ANSWERED;
  selected[EXECUTION] = 'ran';
  selected['Request-Id'] = exchange.facts.requestId;
  return selected;
}
