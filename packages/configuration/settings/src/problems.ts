/**
 * Converts schema issues of a TOML document into messages for operators: the key path and the expected
 * value.
 */
import * as zod from 'zod';
import type { KeyPath } from './key-scanner.js';

/** A problem with the value at one key path. */
export interface TomlProblem {
  readonly path: KeyPath;
  readonly message: string;
}

const unitBySuffix: readonly (readonly [RegExp, string])[] = [
  [/milliseconds$/i, 'milliseconds'],
  [/seconds$/i, 'seconds'],
  [/bytes$/i, 'bytes'],
  [/megabytes$/i, 'megabytes'],
  [/perSecond$/i, 'requests per second'],
];

/** Formats a key path for messages, for example `servers[0].address`. */
export function formatPath(path: KeyPath): string {
  let text = '';
  for (const part of path) {
    if (typeof part === 'number') {
      text += `[${part}]`;
    } else {
      text += text === '' ? part : `.${part}`;
    }
  }
  return text;
}

function unwrapSchema(schema: zod.core.$ZodType | undefined): zod.core.$ZodType | undefined {
  let current = schema;
  while (
    current instanceof zod.ZodOptional ||
    current instanceof zod.ZodDefault ||
    current instanceof zod.ZodPrefault
  ) {
    current = current.unwrap();
  }
  return current;
}

function findSchema(schema: zod.core.$ZodType, path: KeyPath): zod.core.$ZodType | undefined {
  let current = unwrapSchema(schema);
  for (const part of path) {
    if (current instanceof zod.ZodObject && typeof part === 'string') {
      current = unwrapSchema(current.shape[part]);
    } else if (current instanceof zod.ZodArray) {
      current = unwrapSchema(current.element);
    } else {
      return undefined;
    }
  }
  return current;
}

function listKnownKeys(schema: zod.core.$ZodType, path: KeyPath): string[] {
  const found = findSchema(schema, path);
  return found instanceof zod.ZodObject ? Object.keys(found.shape) : [];
}

function describeUnit(path: KeyPath): string {
  const key = String(path.at(-1) ?? '');
  for (const [suffix, unit] of unitBySuffix) {
    if (suffix.test(key)) {
      return ` (a plain number of ${unit})`;
    }
  }
  return '';
}

function describeIssue(issue: zod.core.$ZodIssue, path: KeyPath): string {
  const message = issue.message.replace(/^Invalid input: /, '');
  if (issue.code === 'invalid_type') {
    const isMissing = message.endsWith('received undefined');
    const expectation = message.replace(/, received undefined$/, '');
    return `${isMissing ? 'missing, ' : ''}${expectation}${describeUnit(path)}`;
  }
  return message;
}

function countMismatches(issues: readonly zod.core.$ZodIssue[]): number {
  return issues.filter((issue) => issue.code === 'invalid_value').length;
}

type ConvertIssues = (
  schema: zod.core.$ZodType,
  issues: readonly zod.core.$ZodIssue[],
) => TomlProblem[];

// Reports the issues of the alternative with the fewest literal mismatches, which is most likely the
// intended one.
function convertUnionIssue(
  schema: zod.core.$ZodType,
  issue: zod.core.$ZodIssueInvalidUnion,
  path: KeyPath,
  convert: ConvertIssues,
): TomlProblem[] {
  const union = findSchema(schema, path);
  let best = -1;
  let lowest = Number.POSITIVE_INFINITY;
  for (const [index, issues] of issue.errors.entries()) {
    const mismatches = countMismatches(issues);
    if (mismatches < lowest) {
      lowest = mismatches;
      best = index;
    }
  }
  const alternative = union instanceof zod.ZodUnion ? union.options[best] : undefined;
  const issues = issue.errors[best];
  if (alternative === undefined || issues === undefined) {
    return [{ path, message: issue.message }];
  }
  const problems = convert(alternative, issues);
  return problems.map((problem) => ({ ...problem, path: [...path, ...problem.path] }));
}

/** Converts schema issues to problems; each unknown key becomes a separate problem. */
export function convertIssues(
  schema: zod.core.$ZodType,
  issues: readonly zod.core.$ZodIssue[],
): TomlProblem[] {
  const problems: TomlProblem[] = [];
  for (const issue of issues) {
    const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
    if (issue.code === 'unrecognized_keys') {
      const known = listKnownKeys(schema, path).join(', ');
      const message = known === '' ? 'unknown key' : `unknown key, expected one of: ${known}`;
      for (const key of issue.keys) {
        problems.push({ path: [...path, key], message });
      }
    } else if (issue.code === 'invalid_union') {
      problems.push(...convertUnionIssue(schema, issue, path, convertIssues));
    } else {
      problems.push({ path, message: describeIssue(issue, path) });
    }
  }
  return problems;
}
