/**
 * Answers that are changed between the daemon's own code and the caller.
 */
import * as http from 'node:http';

const BROKEN_EVERY = 20;
const EXECUTION_HEADER = 'dogwoodstall-execution';

type HeaderTable = Record<string, http.OutgoingHttpHeader>;

/** Changes the chunk of an answer. */
type ChangeChunk = (chunk: Buffer) => Buffer;

function findName(headers: HeaderTable, name: string): string | undefined {
  return Object.keys(headers).find((candidate) => candidate.toLowerCase() === name);
}

/** Wraps `writeHead`; the function receives the headers of each answer of the product's own. */
function interceptHeaders(
  intercept: (response: http.ServerResponse, headers: HeaderTable) => void,
): void {
  const { writeHead } = http.ServerResponse.prototype;
  const replaced = function writeChangedHead(
    this: http.ServerResponse,
    status: number,
    headers?: HeaderTable,
  ): http.ServerResponse {
    const isAnswer = headers !== undefined && findName(headers, EXECUTION_HEADER) !== undefined;
    if (isAnswer) {
      intercept(this, headers);
    }
    return Reflect.apply(writeHead, this, headers === undefined ? [status] : [status, headers]);
  };
  http.ServerResponse.prototype.writeHead =
    replaced as unknown as typeof http.ServerResponse.prototype.writeHead;
}

function changeChunks(response: http.ServerResponse, change: ChangeChunk): void {
  const write = response.write.bind(response) as (chunk: Buffer) => boolean;
  Object.assign(response, { write: (chunk: Buffer) => write(change(chunk)) });
}

/** Ends every twentieth answer early, framed like a complete one. */
export function cutAnswers(): void {
  let answers = 0;
  interceptHeaders((response, headers) => {
    answers += 1;
    if (answers % BROKEN_EVERY === 0) {
      Reflect.deleteProperty(headers, findName(headers, 'content-length') ?? '');
      changeChunks(response, (chunk) => chunk.subarray(0, Math.floor(chunk.length / 2)));
    }
  });
}

/** Gives every twentieth answer the content of an earlier one of the same length. */
export function swapAnswers(): void {
  let answers = 0;
  const earlier = new Map<number, Buffer>();
  interceptHeaders((response) => {
    answers += 1;
    const isSwapped = answers % BROKEN_EVERY === 0;
    changeChunks(response, (chunk) => {
      const other = earlier.get(chunk.length);
      earlier.set(chunk.length, Buffer.from(chunk));
      return isSwapped && other !== undefined ? other : chunk;
    });
  });
}

/** States "not run" where the daemon states "not known". */
export function relabelNotKnown(): void {
  interceptHeaders((_response, headers) => {
    const name = findName(headers, EXECUTION_HEADER);
    if (name !== undefined && headers[name] === 'not-known') {
      Object.assign(headers, { [name]: 'not-run' });
    }
  });
}
