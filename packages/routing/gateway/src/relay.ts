/**
 * Requests that one daemon relays to another, because it does not reach the endpoints itself. A request is relayed at
 * most once. The other daemon makes one attempt, which the relaying daemon has counted, and reports whether the request
 * may have run and whether it reached an endpoint.
 */
import type { IncomingHttpHeaders } from 'node:http';
import * as proxy from '@dogwoodstall/proxy';
import type { AttemptContext, ResponseClassification, WireProtocol } from './wire-protocol.js';

/** Removed from the requests of callers, because it begins with the prefix of the fleet's headers. */
const RELAY_HEADER = `${proxy.FLEET_HEADER_PREFIX}relay`;
/** A header of its own, since older daemons would not recognise a longer relay header. */
const SERVICE_HEADER = `${proxy.FLEET_HEADER_PREFIX}relay-service`;
const ORGANISATION_HEADER = `${proxy.FLEET_HEADER_PREFIX}relay-organisation`;
const RELAY_PATTERN = /^(\d{1,2}) (first|repeated) ([0-9a-z]{1,32})$/;
const EXECUTION_HEADER = proxy.EXECUTION_HEADER.toLowerCase();
const ARRIVALS_HEADER = `${proxy.FLEET_HEADER_PREFIX}arrivals`;
const NO_ARRIVALS = '0';

/** What the relaying daemon has done with a request so far. */
export interface RelayState {
  /** Number of attempts that the other daemon may make; older daemons allow more than one. */
  readonly attemptsLeft: number;
  /** Whether an earlier attempt may have reached an endpoint. */
  readonly repeated: boolean;
  /** Service whose endpoints the request is for; undefined from older daemons. */
  readonly service: string | undefined;
  /** Organisation of the caller, whose token is not relayed; undefined if it has none. */
  readonly organisation?: string | undefined;
  /** Identifies the request, its caller included, if it comes again. */
  readonly fingerprint: string;
}

/** Returns the headers of a relayed request, as a flat list of names and values. */
export function listRelayHeaders({
  attemptsLeft,
  repeated,
  service,
  organisation,
  fingerprint,
}: RelayState): string[] {
  const relay = `${attemptsLeft} ${repeated ? 'repeated' : 'first'} ${fingerprint}`;
  const headers = [RELAY_HEADER, relay];
  if (service !== undefined) {
    headers.push(SERVICE_HEADER, encodeURIComponent(service));
  }
  if (organisation !== undefined) {
    headers.push(ORGANISATION_HEADER, organisation);
  }
  return headers;
}

/** Reads the state of a relayed request; undefined if the request comes from a caller. */
export function readRelayHeaders(headers: IncomingHttpHeaders): RelayState | undefined {
  const value = headers[RELAY_HEADER];
  const match = typeof value === 'string' ? RELAY_PATTERN.exec(value) : null;
  const service = headers[SERVICE_HEADER];
  const organisation = headers[ORGANISATION_HEADER];
  return match === null
    ? undefined
    : {
        service: typeof service === 'string' ? service : undefined,
        organisation: typeof organisation === 'string' ? organisation : undefined,
        attemptsLeft: Number(match[1]),
        repeated: match[2] === 'repeated',
        fingerprint: match[3] as string,
      };
}

/** Returns the headers of a failure after which no attempt of the relayed request has reached an endpoint. */
export function listNoArrivalsHeaders(requestHeaders: IncomingHttpHeaders): Record<string, string> {
  return requestHeaders[RELAY_HEADER] === undefined ? {} : { [ARRIVALS_HEADER]: NO_ARRIVALS };
}

/** Classifies the response of the other daemon: one of an endpoint, or a failure that says whether the request ran. */
export function classifyRelayedResponse(
  protocol: WireProtocol,
  status: number,
  headers: IncomingHttpHeaders,
  context: AttemptContext,
): ResponseClassification {
  const execution = headers[EXECUTION_HEADER];
  if (execution === undefined) {
    const classification = protocol.classifyResponse(status, headers, context);
    return classification.kind === 'answer' ? classification : { kind: 'foreign' };
  }
  const isOwn = headers[protocol.requestIdHeader] === context.requestId;
  if (!isOwn || execution !== 'not-run') {
    return { kind: 'foreign' };
  }
  return { kind: headers[ARRIVALS_HEADER] === NO_ARRIVALS ? 'not-arrived' : 'not-run' };
}
