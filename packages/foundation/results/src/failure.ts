/**
 * Failures as a tagged union over the result code table, and the error class that carries one.
 */
import type { Execution, ResultDefinition } from './definition.js';
import { findResult, type ResultName } from './table.js';

/** Further facts of a failure for logs and answers. */
export type FailureDetails = Readonly<Record<string, string | number | boolean | undefined>>;

/** A failure; `kind` is the name of its result code and discriminates the union. */
export type Failure = {
  [Name in ResultName]: {
    readonly kind: Name;
    readonly message: string;
    readonly details: FailureDetails;
  };
}[ResultName];

/** Options of `createFailure`. */
export interface FailureOptions extends ErrorOptions {
  readonly details?: FailureDetails;
}

/** Creates a failure; without a message it carries the summary of its result code. */
export function createFailure(
  kind: ResultName,
  message = findResult(kind).summary,
  details: FailureDetails = {},
): Failure {
  return { kind, message, details } as Failure;
}

/** The error that carries a failure through promise chains. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(kind: ResultName, message?: string, options: FailureOptions = {}) {
    const failure = createFailure(kind, message, options.details);
    super(failure.message, options);
    this.name = 'FailureError';
    this.failure = failure;
  }

  /** The entry of the result code table. */
  get definition(): ResultDefinition {
    return findResult(this.failure.kind);
  }

  /** The number of the result code. */
  get code(): number {
    return this.definition.number;
  }

  /** What is known about the execution of the caller's request. */
  get execution(): Execution {
    return this.definition.execution;
  }
}

/** Returns the failure of an error, or an `InternalError` failure for any other thrown value. */
export function toFailure(error: unknown): Failure {
  if (error instanceof FailureError) {
    return error.failure;
  }
  const message = error instanceof Error ? error.message : String(error);
  return createFailure('InternalError', message);
}

/** Returns whether an error carries a failure of the given kind. */
export function isFailure(error: unknown, kind: ResultName): error is FailureError {
  return error instanceof FailureError && error.failure.kind === kind;
}
