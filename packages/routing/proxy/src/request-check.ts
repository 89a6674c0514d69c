/**
 * Validates caller requests more strictly than the HTTP parser. A request that two implementations
 * could parse differently is rejected, because the difference allows request smuggling.
 */
import type { IncomingMessage } from 'node:http';
import { FailureError, type ResultName } from '@dogwoodstall/results';

const HOST_PATTERN = /^([a-z0-9._-]+|\[[0-9a-f:.]+\])(:\d{1,5})?$/i;
const PORT_PATTERN = /:\d{1,5}$/;
const LENGTH_PATTERN = /^\d{1,15}$/;
// Excludes control characters, space, double quote, backslash and non-ASCII characters.
const TARGET_PATTERN = /^\/[!#-[\]-~]*$/;

/** The validated parts of a request. */
export interface CheckedRequest {
  /** Lower case, without port. */
  readonly host: string;
  /** Without query. */
  readonly path: string;
  readonly method: string;
  /** Undefined for a chunked body. */
  readonly contentLength: number | undefined;
}

interface FramingHeaders {
  readonly hosts: string[];
  readonly lengths: string[];
  readonly encodings: string[];
  upgrade: boolean;
}

function collectFramingHeaders(rawHeaders: readonly string[]): FramingHeaders {
  const framing: FramingHeaders = { hosts: [], lengths: [], encodings: [], upgrade: false };
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toLowerCase();
    const value = rawHeaders[index + 1] as string;
    if (name === 'host') {
      framing.hosts.push(value);
    } else if (name === 'content-length') {
      framing.lengths.push(value);
    } else if (name === 'transfer-encoding') {
      framing.encodings.push(value);
    } else if (name === 'upgrade') {
      framing.upgrade = true;
    }
  }
  return framing;
}

function parseContentLength({ lengths, encodings }: FramingHeaders): number | undefined {
  if (lengths.length + encodings.length > 1) {
    throw new FailureError('RequestAmbiguousLength');
  }
  if (encodings.length === 1) {
    if (encodings[0]?.toLowerCase() !== 'chunked') {
      throw new FailureError(
        'RequestAmbiguousLength',
        'the only supported transfer encoding is "chunked"',
      );
    }
    return undefined;
  }
  const length = lengths[0] ?? '0';
  if (!LENGTH_PATTERN.test(length)) {
    throw new FailureError('RequestAmbiguousLength', 'Content-Length is not a number');
  }
  return Number(length);
}

function parseHost(hosts: readonly string[]): string {
  const [host] = hosts;
  if (hosts.length !== 1 || host === undefined || !HOST_PATTERN.test(host)) {
    throw new FailureError('RequestHostInvalid');
  }
  return host.replace(PORT_PATTERN, '').toLowerCase();
}

/** Validates a request; throws the failure to report to the caller. */
export function checkRequest(request: IncomingMessage): CheckedRequest {
  const framing = collectFramingHeaders(request.rawHeaders);
  const contentLength = parseContentLength(framing);
  const host = parseHost(framing.hosts);
  if (request.httpVersion !== '1.1') {
    throw new FailureError('RequestMalformed', 'only HTTP/1.1 is supported');
  }
  if (framing.upgrade) {
    throw new FailureError('MethodUnsupported', 'protocol upgrades are not supported');
  }
  const target = request.url ?? '';
  if (!TARGET_PATTERN.test(target)) {
    throw new FailureError('RequestMalformed', 'the request target is not in origin form');
  }
  const queryStart = target.indexOf('?');
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  return { host, path, method: request.method ?? '', contentLength };
}

const resultByParserCode: Readonly<Record<string, ResultName>> = {
  HPE_HEADER_OVERFLOW: 'RequestHeadersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'RequestTooSlow',
  HPE_INVALID_CONTENT_LENGTH: 'RequestAmbiguousLength',
  HPE_UNEXPECTED_CONTENT_LENGTH: 'RequestAmbiguousLength',
  HPE_INVALID_TRANSFER_ENCODING: 'RequestAmbiguousLength',
};

/** Maps an error code of the Node.js HTTP parser to a result. */
export function classifyParserError(code: string | undefined): ResultName {
  return resultByParserCode[code ?? ''] ?? 'RequestMalformed';
}
