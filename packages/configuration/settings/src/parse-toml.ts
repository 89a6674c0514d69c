/**
 * Parses TOML text against a schema and reports every problem with file, line and key.
 */
import * as results from '@dogwoodstall/results';
import * as toml from 'smol-toml';
import type * as zod from 'zod';
import { KeyLines } from './key-lines.js';
import { convertIssues, formatPath, type TomlProblem } from './problems.js';

/** The result code of a document that does not fit its schema. */
export type InvalidKind = Extract<
  results.ResultName,
  'SettingsInvalid' | 'QuestionnaireInvalid' | 'ConfigurationInvalid'
>;

/** A parsed TOML document and where it came from. */
export interface TomlDocument {
  readonly text: string;
  readonly fileName: string;
  readonly value: unknown;
}

/** Options of `checkToml`. */
export interface ValidationOptions {
  /** `SettingsInvalid` by default. */
  readonly invalidKind?: InvalidKind;
  /** Contradictions between keys, reported together with the problems of the schema. */
  readonly additionalProblems?: readonly TomlProblem[];
}

/** Returns TOML text as a plain value; throws `SettingsSyntax` with file and line. */
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

function createProblemError(
  { text, fileName }: TomlDocument,
  kind: InvalidKind,
  problems: readonly TomlProblem[],
): results.FailureError {
  const keyLines = new KeyLines(text);
  const placed = problems.map((problem) => ({ ...problem, line: keyLines.find(problem.path) }));
  placed.sort((left, right) => left.line - right.line);
  const lines = placed.map(({ path, line, message }) => {
    const key = path.length === 0 ? '' : `${formatPath(path)}: `;
    return `${fileName}:${line}: ${key}${message}`;
  });
  return new results.FailureError(kind, lines.join('\n'), {
    details: { file: fileName, line: placed[0]?.line, problems: problems.length },
  });
}

/**
 * Returns the checked value of a parsed document.
 *
 * Throws the failure of `options.invalidKind` whose message has one line
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
    throw createProblemError(document, options.invalidKind ?? 'SettingsInvalid', problems);
  }
  return parsed.data;
}

/**
 * Returns the checked value of TOML text.
 *
 * Throws `SettingsSyntax`, or what `checkToml` throws.
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
