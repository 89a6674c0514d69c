/**
 * Formats and parses the headers of requests that daemons forward to each other.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { FailureError } from '@dogwoodstall/results';
import type { Exchange } from './exchange.js';
import { IDEMPOTENCY_KEY_HEADER } from './headers.js';

/** Maximum number of hops after the entry daemon: the key home and the dispatcher. */
export const MAXIMUM_HOPS = 2;

const DEADLINE_MARGIN_MILLISECONDS = 10;
const DEADLINE_MARGIN_SHARE = 0.1;
/** Clock skew between two VMs up to which no request is rejected as expired. */
const CLOCK_TOLERANCE_MILLISECONDS = 1000;
const MAXIMUM_DEADLINE_MILLISECONDS = 86_400_000;

/** Role of the receiving daemon: key home or dispatcher. */
export type HopKind = 'home' | 'dispatch';

/** Metadata of a forwarded request. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly kind: HopKind;
  readonly hops: number;
  readonly cell: string;
  readonly routeName: string;
  readonly organisation: string;
  readonly originZone: string;
  readonly host: string;
  readonly remainingMilliseconds: number;
  readonly idempotencyKey: string | undefined;
}

/** Splits the host from the other headers. */
export function splitHost(headers: readonly string[]): { host: string; others: string[] } {
  const others: string[] = [];
  let host = '';
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index] === 'host') {
      host = headers[index + 1] as string;
    } else {
      others.push(headers[index] as string, headers[index + 1] as string);
    }
  }
  return { host, others };
}

// The peer's deadline failure, which reports whether the request ran, must arrive before the timer of
// this daemon fires.
function shortenDeadline(milliseconds: number): number {
  return (
    milliseconds - Math.min(DEADLINE_MARGIN_MILLISECONDS, milliseconds * DEADLINE_MARGIN_SHARE)
  );
}

/** Formats the headers of a request to a peer. */
export function formatForwardHeaders(exchange: Exchange, kind: HopKind, cell: string): string[] {
  const { context } = exchange;
  // The host that the caller sent would not match the name in the peer's certificate.
  const { host, others } = splitHost(context.headers);
  return [
    ...others,
    'request-id',
    context.requestId,
    'dogwoodstall-forward-kind',
    kind,
    'dogwoodstall-forward-hops',
    String(context.hops + 1),
    'dogwoodstall-forward-cell',
    cell,
    'dogwoodstall-forward-route',
    context.route.name,
    'dogwoodstall-forward-organisation',
    context.organisation,
    'dogwoodstall-forward-zone',
    context.originZone,
    'dogwoodstall-forward-host',
    host,
    'dogwoodstall-forward-milliseconds',
    shortenDeadline(exchange.remainingMilliseconds).toFixed(1),
    'dogwoodstall-forward-sent',
    String(Date.now()),
  ];
}

function requireHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  if (typeof value !== 'string') {
    throw new FailureError('PeerMessageInvalid', `the header ${name} is missing`);
  }
  return value;
}

/**
 * Parses the headers of a forwarded request; throws `PeerMessageInvalid`, `ForwardLoop` or
 * `DeadlineInQueue`.
 */
export function parseForwardHeaders(headers: IncomingHttpHeaders): ForwardedRequest {
  const kind = requireHeader(headers, 'dogwoodstall-forward-kind');
  const hops = Number(requireHeader(headers, 'dogwoodstall-forward-hops'));
  const remaining = Number(requireHeader(headers, 'dogwoodstall-forward-milliseconds'));
  if ((kind !== 'home' && kind !== 'dispatch') || !Number.isInteger(hops) || hops < 1) {
    throw new FailureError('PeerMessageInvalid');
  }
  if (!(remaining >= 0 && remaining <= MAXIMUM_DEADLINE_MILLISECONDS)) {
    throw new FailureError('PeerMessageInvalid', 'the remaining time is invalid');
  }
  if (hops > MAXIMUM_HOPS) {
    throw new FailureError('ForwardLoop');
  }
  const age = Date.now() - Number(requireHeader(headers, 'dogwoodstall-forward-sent'));
  if (age > remaining + CLOCK_TOLERANCE_MILLISECONDS) {
    // The request waited in a socket buffer while this daemon was paused; the entry daemon has already
    // sent the caller a failure.
    throw new FailureError('DeadlineInQueue');
  }
  const key = headers[IDEMPOTENCY_KEY_HEADER];
  return {
    requestId: requireHeader(headers, 'request-id'),
    kind,
    hops,
    cell: requireHeader(headers, 'dogwoodstall-forward-cell'),
    routeName: requireHeader(headers, 'dogwoodstall-forward-route'),
    organisation: requireHeader(headers, 'dogwoodstall-forward-organisation'),
    originZone: requireHeader(headers, 'dogwoodstall-forward-zone'),
    host: requireHeader(headers, 'dogwoodstall-forward-host'),
    remainingMilliseconds: remaining,
    idempotencyKey: typeof key === 'string' ? key : undefined,
  };
}
