/**
 * Defects that corrupt responses between the daemon's code and the caller.
 */
import * as http from 'node:http';

const CORRUPTION_INTERVAL = 20;
const EXECUTION_HEADER = 'dogwoodstall-execution';

type HeaderRecord = Record<string, http.OutgoingHttpHeader>;

/** Returns the chunk to send instead of a chunk of the response body. */
type TransformChunk = (chunk: Buffer) => Buffer;

function findHeaderName(headers: HeaderRecord, name: string): string | undefined {
  return Object.keys(headers).find((candidate) => candidate.toLowerCase() === name);
}

/** Wraps `writeHead`; `intercept` receives the headers of each response with an execution header. */
function interceptHeaders(
  intercept: (response: http.ServerResponse, headers: HeaderRecord) => void,
): void {
  const { writeHead } = http.ServerResponse.prototype;
  const replaced = function writeChangedHead(
    this: http.ServerResponse,
    status: number,
    headers?: HeaderRecord,
  ): http.ServerResponse {
    const isProductResponse =
      headers !== undefined && findHeaderName(headers, EXECUTION_HEADER) !== undefined;
    if (isProductResponse) {
      intercept(this, headers);
    }
    return Reflect.apply(writeHead, this, headers === undefined ? [status] : [status, headers]);
  };
  http.ServerResponse.prototype.writeHead =
    replaced as unknown as typeof http.ServerResponse.prototype.writeHead;
}

function transformChunks(response: http.ServerResponse, transform: TransformChunk): void {
  const write = response.write.bind(response) as (chunk: Buffer) => boolean;
  Object.assign(response, { write: (chunk: Buffer) => write(transform(chunk)) });
}

/** Truncates every twentieth response, with framing that makes it look complete. */
export function truncateResponses(): void {
  let responseCount = 0;
  interceptHeaders((response, headers) => {
    responseCount += 1;
    if (responseCount % CORRUPTION_INTERVAL === 0) {
      Reflect.deleteProperty(headers, findHeaderName(headers, 'content-length') ?? '');
      transformChunks(response, (chunk) => chunk.subarray(0, Math.floor(chunk.length / 2)));
    }
  });
}

/** Replaces chunks of every twentieth response by earlier chunks of the same length. */
export function swapResponses(): void {
  let responseCount = 0;
  const earlier = new Map<number, Buffer>();
  interceptHeaders((response) => {
    responseCount += 1;
    const isSwapped = responseCount % CORRUPTION_INTERVAL === 0;
    transformChunks(response, (chunk) => {
      const other = earlier.get(chunk.length);
      earlier.set(chunk.length, Buffer.from(chunk));
      return isSwapped && other !== undefined ? other : chunk;
    });
  });
}

/** Reports "not run" instead of "not known". */
export function reportNotRun(): void {
  interceptHeaders((_response, headers) => {
    const name = findHeaderName(headers, EXECUTION_HEADER);
    if (name !== undefined && headers[name] === 'not-known') {
      Object.assign(headers, { [name]: 'not-run' });
    }
  });
}
