/**
 * Parameters of a request to a backend server stand-in, and its simulated service time.
 */
import type * as http from 'node:http';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Parameters of one request. */
export interface WorkRequest {
  readonly path: string;
  /** Identifies the request in the response body; `?token=`, or else the request id. */
  readonly token: string;
  readonly requestId: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly workMilliseconds: number | undefined;
  /** Size of the streamed response; undefined requests a JSON summary. */
  readonly responseBytes: number | undefined;
  /** Whether the response is sent without a `Content-Length` header. */
  readonly chunked: boolean;
  /** Monotonic time of the deadline; infinite without one. */
  readonly deadlineAt: number;
  readonly crashMarker: string | undefined;
}

function readHeader(request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readNumber(text: string | null | undefined): number | undefined {
  const value = Number(text ?? '');
  return text === null || text === undefined || !(value >= 0) ? undefined : value;
}

/** Reads the parameters from the URL and the headers. */
export function readWorkRequest(request: http.IncomingMessage, arrivedAt: number): WorkRequest {
  const url = new URL(request.url ?? '/', 'http://backend');
  const requestId = readHeader(request, 'request-id');
  const timeout = readNumber(readHeader(request, 'request-timeout-milliseconds'));
  return {
    path: url.pathname,
    token: url.searchParams.get('token') ?? requestId ?? '',
    requestId,
    idempotencyKey: readHeader(request, 'idempotency-key'),
    workMilliseconds: readNumber(url.searchParams.get('work')),
    responseBytes: readNumber(url.searchParams.get('answer')),
    chunked: url.searchParams.has('chunked'),
    deadlineAt: arrivedAt + (timeout ?? Infinity),
    crashMarker: readHeader(request, 'crash-marker'),
  };
}

/** Options of `ServiceTime`. */
export interface ServiceTimeOptions {
  readonly seed: number;
  /** Service time of requests that specify none. */
  readonly defaultMilliseconds: number;
  /** Relative spread around the requested service time; 0.2 gives 80% to 120%. */
  readonly variation: number;
  /** Slowdown factor at startup, which falls linearly to 1 over `coldStartMilliseconds`. */
  readonly coldStartFactor: number;
  readonly coldStartMilliseconds: number;
}

/** Draws service times from a seeded random sequence. */
export class ServiceTime {
  private readonly random;

  private readonly options: ServiceTimeOptions;

  constructor(options: ServiceTimeOptions) {
    this.options = options;
    this.random = xoroshiro128plus(options.seed);
  }

  /** Returns the next number of the seeded sequence, from 0 (inclusive) to 1 (exclusive). */
  drawNumber(): number {
    return uniformFloat64(this.random);
  }

  /** Returns a service time in milliseconds for a server that started `ageMilliseconds` ago. */
  drawServiceTime(requestedMilliseconds: number | undefined, ageMilliseconds: number): number {
    const { defaultMilliseconds, variation, coldStartFactor, coldStartMilliseconds } = this.options;
    const spread = 1 + variation * (2 * this.drawNumber() - 1);
    const coldness = Math.max(0, 1 - ageMilliseconds / Math.max(1, coldStartMilliseconds));
    const slowdown = 1 + (coldStartFactor - 1) * coldness;
    return (requestedMilliseconds ?? defaultMilliseconds) * spread * slowdown;
  }
}
