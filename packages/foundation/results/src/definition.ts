/**
 * Types of the entries of the result code table.
 */

/**
 * Whether the caller's request was executed. `not-known` means that it may have been; `not-applicable` marks results
 * that don't belong to a request of a caller.
 */
export type Execution = 'ran' | 'not-run' | 'not-known' | 'not-applicable';

/** A result code: its number, its HTTP status and whether the request was executed. */
export interface ResultDefinition {
  readonly number: number;
  /** Status of HTTP responses that report this result. */
  readonly httpStatus: number;
  readonly execution: Execution;
  /** One sentence for the documentation; also the default message of failures with this result. */
  readonly summary: string;
}

/** Creates one entry of a table of result codes. */
export function defineResult(
  number: number,
  httpStatus: number,
  execution: Execution,
  summary: string,
): ResultDefinition {
  return { number, httpStatus, execution, summary };
}
