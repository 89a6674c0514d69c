/**
 * The caller's side of at-most-once execution: a key is fetched by a first request without one, and
 * the same key is sent again when an answer was lost or the outcome is not known.
 */
import { setTimeout as sleep } from 'node:timers/promises';
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
  /** Milliseconds before a resend; none without it. */
  readonly drawResendDelay?: () => number;
  /** Whether the key is sent once more after a complete answer. */
  readonly resendAnswered: boolean;
  /** Milliseconds after the start of the load. */
  readonly now: () => number;
}

/** The last result of a request, and the record of its key when it got one. */
export interface KeyFlowResult {
  readonly result: AttemptResult;
  readonly record: KeyRecord | undefined;
  readonly attempts: number;
}

function isLost(result: AttemptResult): boolean {
  return ['cut', 'truncated', 'no-answer', 'gave-up'].includes(result.kind);
}

function isOpen(result: AttemptResult): boolean {
  return isLost(result) || (result.kind === 'failure' && result.told === 'not-known');
}

function prefer(first: AttemptResult, second: AttemptResult): AttemptResult {
  return first.kind === 'ok' || first.kind === 'late' ? first : second;
}

/** Runs one non-idempotent request to its end. */
export async function runKeyFlow(options: KeyFlowOptions): Promise<KeyFlowResult> {
  let refusal = await options.send(undefined);
  // Nothing runs without a key, so that the first request may be repeated anywhere.
  for (let resend = 0; resend < options.maximumResends && isLost(refusal); resend += 1) {
    refusal = await options.send(undefined);
  }
  const key = refusal.idempotencyKey;
  if (refusal.status !== KEY_REQUIRED_STATUS || key === undefined) {
    return { result: refusal, record: undefined, attempts: 1 };
  }
  const record: KeyRecord = { key, className: options.className, statements: [] };
  const sendRecorded = async (): Promise<AttemptResult> => {
    const result = await options.send(key);
    const { kind, told, failureCode, requestId } = result;
    record.statements.push({ kind, told, failureCode, requestId, atMilliseconds: options.now() });
    return result;
  };
  const firstResults = await Promise.all(
    options.sendTwice ? [sendRecorded(), sendRecorded()] : [sendRecorded()],
  );
  let result = firstResults.reduce(prefer);
  for (let resend = 0; resend < options.maximumResends && isOpen(result); resend += 1) {
    await sleep(options.drawResendDelay?.() ?? 0);
    result = await sendRecorded();
  }
  if (options.resendAnswered && !isOpen(result)) {
    await sleep(options.drawResendDelay?.() ?? 0);
    await sendRecorded();
  }
  return { result, record, attempts: 1 + record.statements.length };
}
