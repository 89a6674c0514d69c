/**
 * Problems of a TOML document in an operator's words: where a key stands and what was expected.
 */
import * as zod from 'zod';
import type { KeyPath } from './key-scanner.js';

/** One problem at one key. */
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

/** Returns a key path as an operator writes it, `servers[0].address`. */
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

function unwrap(schema: zod.core.$ZodType | undefined): zod.core.$ZodType | undefined {
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

function listKnownKeys(schema: zod.core.$ZodType, path: KeyPath): string[] {
  let current = unwrap(schema);
  for (const part of path) {
    if (current instanceof zod.ZodObject && typeof part === 'string') {
      current = unwrap(current.shape[part]);
    } else if (current instanceof zod.ZodArray) {
      current = unwrap(current.element);
    } else {
      return [];
    }
  }
  return current instanceof zod.ZodObject ? Object.keys(current.shape) : [];
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

/** Converts the issues of a schema check; each unknown key becomes a problem of its own. */
export function convertIssues(
  schema: zod.core.$ZodType,
  issues: readonly zod.core.$ZodIssue[],
): TomlProblem[] {
  const problems: TomlProblem[] = [];
  for (const issue of issues) {
    const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
    if (issue.code === 'unrecognized_keys') {
      const known = listKnownKeys(schema, path).join(', ');
      for (const key of issue.keys) {
        problems.push({ path: [...path, key], message: `unknown key, expected one of: ${known}` });
      }
    } else {
      problems.push({ path, message: describeIssue(issue, path) });
    }
  }
  return problems;
}
