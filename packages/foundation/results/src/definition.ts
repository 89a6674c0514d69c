/**
 * The shape of one entry of the result code table.
 */

/**
 * What is known about the execution of the caller's request when a result is reported.
 * `not-applicable` stands on results that concern no caller request.
 */
export type Execution = 'ran' | 'not-run' | 'not-known' | 'not-applicable';

/** One numbered result: what it is called, how it is answered over HTTP and what may be concluded. */
export interface ResultDefinition {
  readonly number: number;
  /** HTTP status of an answer that carries this result. */
  readonly httpStatus: number;
  readonly execution: Execution;
  /** One sentence for the table in the documentation. */
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
