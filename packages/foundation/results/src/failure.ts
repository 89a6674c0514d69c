/**
 * Failures as a discriminated union over the result code table, and the error class that carries one.
 */
import type { Execution, ResultDefinition } from './definition.js';
import { findResult, type ResultName } from './table.js';

/** Additional fields of a failure for logs and responses. */
export type FailureDetails = Readonly<Record<string, string | number | boolean | undefined>>;

/** A failure, discriminated by `kind`, the name of its result code. */
export type Failure = {
  [Name in ResultName]: {
    readonly kind: Name;
    readonly message: string;
    readonly details: FailureDetails;
  };
}[ResultName];

/** Options of `FailureError`. */
export interface FailureOptions extends ErrorOptions {
  readonly details?: FailureDetails;
}

/** Creates a failure; the message defaults to the summary of the result code. */
export function createFailure(
  kind: ResultName,
  message = findResult(kind).summary,
  details: FailureDetails = {},
): Failure {
  return { kind, message, details } as Failure;
}

/** An error that carries a failure. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(kind: ResultName, message?: string, options: FailureOptions = {}) {
    const failure = createFailure(kind, message, options.details);
    super(failure.message, options);
    this.name = 'FailureError';
    this.failure = failure;
  }

  /** The entry of the result code table for this failure. */
  get definition(): ResultDefinition {
    return findResult(this.failure.kind);
  }

  /** The number of the result code. */
  get code(): number {
    return this.definition.number;
  }

  /** Whether the caller's request was executed. */
  get execution(): Execution {
    return this.definition.execution;
  }
}

/** Returns the failure that an error carries; any other thrown value is converted to `InternalError`. */
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
