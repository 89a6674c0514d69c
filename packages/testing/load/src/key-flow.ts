/**
 * The caller's side of at-most-once execution: a key is fetched by a first request without one, and
 * the same key is sent again when an answer was lost or the outcome is not known.
 */
import type { AttemptResult, KeyRecord } from './outcome.js';

const KEY_REQUIRED_STATUS = 428;

/** Sends the request once, with or without a key. */
export type SendWithKey = (key: string | undefined) => Promise<AttemptResult>;

/** Options of `runKeyFlow`. */
export interface KeyFlowOptions {
  readonly className: string;
  readonly send: SendWithKey;
  /** Further attempts with the same key. */
  readonly maximumResends: number;
  /** Whether the first attempt with the key is sent twice at the same time. */
  readonly sendTwice: boolean;
  /** Milliseconds after the start of the load. */
  readonly now: () => number;
}

/** The last result of a request, and the record of its key when it got one. */
export interface KeyFlowResult {
  readonly result: AttemptResult;
  readonly record: KeyRecord | undefined;
  readonly attempts: number;
}

function isOpen(result: AttemptResult): boolean {
  const isLost = ['cut', 'no-answer', 'gave-up'].includes(result.kind);
  return isLost || (result.kind === 'failure' && result.told === 'not-known');
}

function prefer(first: AttemptResult, second: AttemptResult): AttemptResult {
  return first.kind === 'ok' || first.kind === 'late' ? first : second;
}

/** Runs one non-idempotent request to its end. */
export async function runKeyFlow(options: KeyFlowOptions): Promise<KeyFlowResult> {
  const refusal = await options.send(undefined);
  const key = refusal.idempotencyKey;
  if (refusal.status !== KEY_REQUIRED_STATUS || key === undefined) {
    return { result: refusal, record: undefined, attempts: 1 };
  }
  const record: KeyRecord = { key, className: options.className, statements: [] };
  const sendRecorded = async (): Promise<AttemptResult> => {
    const { kind, told, failureCode, ...rest } = await options.send(key);
    record.statements.push({ kind, told, failureCode, atMilliseconds: options.now() });
    return { kind, told, failureCode, ...rest };
  };
  const firstResults = await Promise.all(
    options.sendTwice ? [sendRecorded(), sendRecorded()] : [sendRecorded()],
  );
  let result = firstResults.reduce(prefer);
  for (let resend = 0; resend < options.maximumResends && isOpen(result); resend += 1) {
    result = await sendRecorded();
  }
  return { result, record, attempts: 1 + record.statements.length };
}
