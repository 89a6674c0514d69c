/**
 * Failures whose response body carries structured data besides code and message.
 */
import * as results from '@dogwoodstall/results';

/** A failure whose response carries further data, such as the difference of a conflict. */
export class ResponseError extends results.FailureError {
  constructor(
    kind: results.ResultName,
    message: string,
    readonly data: Readonly<Record<string, unknown>>,
  ) {
    super(kind, message);
  }
}

/** The body of every error response. */
export interface ErrorBody {
  readonly error: {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    readonly [field: string]: unknown;
  };
}

/** Returns the HTTP status and the response body for a thrown value. */
export function describeError(error: unknown): { status: number; body: ErrorBody } {
  const failure = results.toFailure(error);
  const { number, httpStatus, summary } = results.findResult(failure.kind);
  // The message of an unexpected error may name files or other organisations, so it is only logged.
  const message = error instanceof results.FailureError ? failure.message : summary;
  const data = error instanceof ResponseError ? error.data : {};
  return {
    status: httpStatus,
    body: { error: { ...data, code: number, name: failure.kind, message } },
  };
}
