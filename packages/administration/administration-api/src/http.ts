/**
 * Reads request bodies of limited size and writes JSON responses.
 */
import type * as http from 'node:http';
import { finished } from 'node:stream/promises';
import * as results from '@dogwoodstall/results';
import type * as zod from 'zod';

/** Largest request body. The store limits a change itself to one megabyte. */
export const MAXIMUM_BODY_BYTES = 2_097_152;
const MAXIMUM_DISCARDED_BYTES = 16_777_216;
const MAXIMUM_REPORTED_ISSUES = 20;

function throwBodyTooLarge(): never {
  const message = `the request body exceeds ${MAXIMUM_BODY_BYTES} bytes`;
  throw new results.FailureError('ConfigurationTooLarge', message);
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  if (Number(request.headers['content-length'] ?? 0) > MAXIMUM_BODY_BYTES) {
    throwBodyTooLarge();
  }
  const chunks: Buffer[] = [];
  let length = 0;
  // The connection must stay open after an oversized body, because the error response is written to
  // it.
  const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
  for await (const chunk of iterator) {
    length += chunk.length;
    if (length > MAXIMUM_BODY_BYTES) {
      throwBodyTooLarge();
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function countFixedValueMismatches(issues: readonly zod.core.$ZodIssue[]): number {
  return issues.filter((issue) => issue.code === 'invalid_value').length;
}

// Reports the issues of the union alternative with the fewest mismatched literal values, which is
// most likely the one that the author meant.
function describeIssues(
  issues: readonly zod.core.$ZodIssue[],
  prefix: readonly PropertyKey[],
): string[] {
  const lines: string[] = [];
  for (const issue of issues) {
    const path = [...prefix, ...issue.path];
    const alternatives = issue.code === 'invalid_union' ? [...issue.errors] : [];
    alternatives.sort(
      (left, right) => countFixedValueMismatches(left) - countFixedValueMismatches(right),
    );
    const [best] = alternatives;
    if (best === undefined) {
      lines.push(`${path.map(String).join('.') || 'body'}: ${issue.message}`);
    } else {
      lines.push(...describeIssues(best, path));
    }
  }
  return lines;
}

/** Parses a value with a schema; throws a failure of `kind` that lists the problems. */
export function parseWithSchema<Schema extends zod.ZodType>(
  value: unknown,
  schema: Schema,
  kind: 'AdministrationRequestInvalid' | 'ConfigurationInvalid',
): zod.infer<Schema> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return parsed.data;
  }
  const lines = describeIssues(parsed.error.issues, []).slice(0, MAXIMUM_REPORTED_ISSUES);
  throw new results.FailureError(kind, lines.join('\n'));
}

/**
 * Returns the JSON body of a request.
 *
 * Throws `ConfigurationTooLarge`, `AdministrationRequestInvalid` or `ConfigurationInvalid`.
 */
export async function readJson<Schema extends zod.ZodType>(
  request: http.IncomingMessage,
  schema: Schema,
): Promise<zod.infer<Schema>> {
  const text = await readBody(request);
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const message = 'the request body is not valid JSON';
    throw new results.FailureError('AdministrationRequestInvalid', message, { cause: error });
  }
  return parseWithSchema(value, schema, 'ConfigurationInvalid');
}

/**
 * Discards the rest of a request body, so that an error response reaches a client that is still
 * sending. Closes the connection when the body exceeds what a client of this API would send by
 * mistake.
 */
export async function discardBody(request: http.IncomingMessage): Promise<void> {
  if (request.readableEnded || request.destroyed) {
    return;
  }
  let length = 0;
  request.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length > MAXIMUM_DISCARDED_BYTES) {
      request.destroy();
    }
  });
  try {
    await finished(request, { writable: false });
  } catch {
    // The client closed the connection, so no response can be sent.
  }
}

/** Writes a JSON response. */
export function writeJson(response: http.ServerResponse, status: number, body: unknown): void {
  response.setHeader('Content-Type', 'application/json; charset=utf-8');
  response.setHeader('Cache-Control', 'no-store');
  response.statusCode = status;
  response.end(`${JSON.stringify(body)}\n`);
}
