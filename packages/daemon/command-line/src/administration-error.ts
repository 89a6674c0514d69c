/**
 * Errors that the administration API returned.
 */
import * as results from '@dogwoodstall/results';
import type { EntityDifference } from './administration-responses.js';

/** An error response of the API, with the entity differences from its body. */
export class AdministrationError extends results.FailureError {
  constructor(
    kind: results.ResultName,
    message: string,
    readonly difference: readonly EntityDifference[],
  ) {
    super(kind, message);
  }
}

interface ErrorResponse {
  readonly error?: {
    readonly code?: number;
    readonly message?: string;
    readonly difference?: readonly EntityDifference[];
  };
}

/**
 * Converts an error response to a failure; without a known code, to `AdministrationAnswerInvalid`.
 */
export function createResponseError(status: number, body: unknown): results.FailureError {
  const error = (body as ErrorResponse | null)?.error;
  const kind = results.findResultName(error?.code ?? 0);
  if (kind === undefined) {
    const message = `the response has status ${status} and no known result code`;
    return new results.FailureError('AdministrationAnswerInvalid', message);
  }
  return new AdministrationError(kind, error?.message ?? '', error?.difference ?? []);
}
