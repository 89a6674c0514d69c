/**
 * Header filtering: removes hop-by-hop headers and headers reserved for the fleet in both directions.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Prefix of the headers that only daemons may set. */
export const FLEET_HEADER_PREFIX = 'dogwoodstall-';
export const REQUEST_ID_HEADER = 'request-id';
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
export const ORGANISATION_TOKEN_HEADER = 'dogwoodstall-organisation-token';
export const RESULT_HEADER = 'Dogwoodstall-Result';
export const EXECUTION_HEADER = 'Dogwoodstall-Execution';
export const REQUEST_TIMEOUT_HEADER = 'request-timeout-milliseconds';

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

// The entry daemon handles `Expect` itself; the others are set again for each hop.
const REWRITTEN_REQUEST_HEADERS = new Set(['expect', REQUEST_ID_HEADER, REQUEST_TIMEOUT_HEADER]);

const BACKEND_ONLY_HEADERS = new Set([
  'endpoint-load-metrics',
  'backend-draining',
  'request-not-run',
  REQUEST_ID_HEADER,
]);

// `Connection` must not remove these: without Content-Length, a truncated body would look complete.
const PROTECTED_FROM_CONNECTION = new Set(['content-length', 'host']);

function addConnectionOptions(value: string, names: Set<string>): void {
  if (value === 'keep-alive' || value === 'close') {
    return;
  }
  for (const name of value.split(',')) {
    const normalised = name.trim().toLowerCase();
    if (!PROTECTED_FROM_CONNECTION.has(normalised)) {
      names.add(normalised);
    }
  }
}

/** Returns the request headers to forward, as a flat list of names and values. */
export function selectRequestHeaders(rawHeaders: readonly string[]): string[] {
  const connectionOptions = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      addConnectionOptions(rawHeaders[index + 1] ?? '', connectionOptions);
    }
  }
  const selected: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase();
    const removed =
      HOP_BY_HOP.has(name) ||
      REWRITTEN_REQUEST_HEADERS.has(name) ||
      connectionOptions.has(name) ||
      name.startsWith(FLEET_HEADER_PREFIX);
    if (!removed) {
      selected.push(name, rawHeaders[index + 1] as string);
    }
  }
  return selected;
}

/** Returns the response headers to send to the caller. */
export function selectResponseHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connectionOptions = new Set<string>();
  if (headers.connection !== undefined) {
    addConnectionOptions(String(headers.connection), connectionOptions);
  }
  const selected: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const removed =
      HOP_BY_HOP.has(name) ||
      BACKEND_ONLY_HEADERS.has(name) ||
      connectionOptions.has(name) ||
      name.startsWith(FLEET_HEADER_PREFIX);
    if (!removed && value !== undefined) {
      selected[name] = value;
    }
  }
  return selected;
}

/** Returns the first value of a header. */
export function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
