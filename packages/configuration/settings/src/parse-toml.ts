/**
 * Parses TOML text, validates it against a schema and reports each problem with file, line and key.
 */
import * as results from '@dogwoodstall/results';
import * as toml from 'smol-toml';
import type * as zod from 'zod';
import { KeyLines } from './key-lines.js';
import { convertIssues, formatPath, type TomlProblem } from './problems.js';

/** Result code for a document that fails validation. */
export type InvalidKind = Extract<
  results.ResultName,
  'SettingsInvalid' | 'QuestionnaireInvalid' | 'ConfigurationInvalid'
>;

/** A parsed TOML document with its source text and file name. */
export interface TomlDocument {
  readonly text: string;
  readonly fileName: string;
  readonly value: unknown;
}

/** Options of `validateToml` and `parseToml`. */
export interface ValidationOptions {
  /** Result code if the document is invalid; `SettingsInvalid` by default. */
  readonly invalidKind?: InvalidKind;
  /** Problems found outside the schema, reported together with the schema violations. */
  readonly additionalProblems?: readonly TomlProblem[];
}

/** Parses TOML text into a plain value. Throws `SettingsSyntax` with file and line. */
export function parseTomlText(text: string, fileName: string): unknown {
  try {
    return toml.parse(text);
  } catch (error) {
    if (!(error instanceof toml.TomlError)) {
      throw error;
    }
    const reason = error.message.split('\n')[0] ?? '';
    const message = `${fileName}:${error.line}: ${reason}`;
    throw new results.FailureError('SettingsSyntax', message, {
      cause: error,
      details: { file: fileName, line: error.line },
    });
  }
}

function createValidationError(
  { text, fileName }: TomlDocument,
  kind: InvalidKind,
  problems: readonly TomlProblem[],
): results.FailureError {
  const keyLines = new KeyLines(text);
  const located = problems.map((problem) => ({ ...problem, line: keyLines.find(problem.path) }));
  located.sort((left, right) => left.line - right.line);
  const lines = located.map(({ path, line, message }) => {
    const key = path.length === 0 ? '' : `${formatPath(path)}: `;
    return `${fileName}:${line}: ${key}${message}`;
  });
  return new results.FailureError(kind, lines.join('\n'), {
    details: { file: fileName, line: located[0]?.line, problems: problems.length },
  });
}

/**
 * Validates a parsed document against a schema and returns its value with defaults applied.
 *
 * Throws a `FailureError` of the kind `options.invalidKind`; its message has one line
 * `file:line: key: expectation` for each problem.
 */
export function validateToml<Schema extends zod.ZodType>(
  document: TomlDocument,
  schema: Schema,
  options: ValidationOptions = {},
): zod.infer<Schema> {
  const parsed = schema.safeParse(document.value);
  const problems: TomlProblem[] = parsed.success ? [] : convertIssues(schema, parsed.error.issues);
  problems.push(...(options.additionalProblems ?? []));
  if (problems.length > 0 || !parsed.success) {
    throw createValidationError(document, options.invalidKind ?? 'SettingsInvalid', problems);
  }
  return parsed.data;
}

/**
 * Parses and validates TOML text.
 *
 * Throws `SettingsSyntax`, and the errors of `validateToml`.
 */
export function parseToml<Schema extends zod.ZodType>(
  text: string,
  fileName: string,
  schema: Schema,
  options: ValidationOptions = {},
): zod.infer<Schema> {
  const value = parseTomlText(text, fileName);
  return validateToml({ text, fileName, value }, schema, options);
}
