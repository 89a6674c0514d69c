/**
 * Failures that the administration API answered.
 */
import * as results from '@dogwoodstall/results';
import type { EntityDifference } from './administration-responses.js';

/** A failure that the API answered, with the facts of its body. */
export class AdministrationError extends results.FailureError {
  constructor(
    kind: results.ResultName,
    message: string,
    readonly difference: readonly EntityDifference[],
  ) {
    super(kind, message);
  }
}

interface ErrorAnswer {
  readonly error?: {
    readonly code?: number;
    readonly message?: string;
    readonly difference?: readonly EntityDifference[];
  };
}

/** Returns the failure in an answer, or `AdministrationAnswerInvalid`. */
export function createResponseError(status: number, body: unknown): results.FailureError {
  const error = (body as ErrorAnswer | null)?.error;
  const kind = results.findResultName(error?.code ?? 0);
  if (kind === undefined) {
    const message = `the answer has status ${status} and no known result code`;
    return new results.FailureError('AdministrationAnswerInvalid', message);
  }
  return new AdministrationError(kind, error?.message ?? '', error?.difference ?? []);
}
