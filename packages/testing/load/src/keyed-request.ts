/**
 * The caller's part of at-most-once execution: the first request carries no idempotency key and
 * obtains one. The request is resent with the same key when the response is lost or the outcome is
 * unknown.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { AttemptResult, KeyRecord } from './outcome.js';

const KEY_REQUIRED_STATUS = 428;

/** Sends the request once, with or without an idempotency key. */
export type SendWithKey = (key: string | undefined) => Promise<AttemptResult>;

/** Options of `runKeyedRequest`. */
export interface KeyedRequestOptions {
  readonly className: string;
  readonly send: SendWithKey;
  /** Maximum number of resends with the same key. */
  readonly maximumResends: number;
  /** Whether the first attempt with the key is sent twice concurrently. */
  readonly sendTwice: boolean;
  /** Draws the delay before a resend in milliseconds; resends are immediate when absent. */
  readonly drawResendDelay?: () => number;
  /** Whether the request is resent once more with the same key after its outcome is known. */
  readonly resendCompleted: boolean;
  /** Milliseconds after the start of the load. */
  readonly now: () => number;
}

/** Final result of a request, and the record of its key when it obtained one. */
export interface KeyedRequestResult {
  readonly result: AttemptResult;
  readonly record: KeyRecord | undefined;
  readonly attempts: number;
}

function isLost(result: AttemptResult): boolean {
  return ['cut', 'truncated', 'no-answer', 'gave-up'].includes(result.kind);
}

function isOutcomeUnknown(result: AttemptResult): boolean {
  return isLost(result) || (result.kind === 'failure' && result.reportedExecution === 'not-known');
}

function preferComplete(first: AttemptResult, second: AttemptResult): AttemptResult {
  return first.kind === 'ok' || first.kind === 'late' ? first : second;
}

/** Sends one non-idempotent request and resends it while its outcome is unknown. */
export async function runKeyedRequest(options: KeyedRequestOptions): Promise<KeyedRequestResult> {
  let initialResult = await options.send(undefined);
  // A request without a key is never executed, so it is safe to resend it to any target.
  for (let resend = 0; resend < options.maximumResends && isLost(initialResult); resend += 1) {
    initialResult = await options.send(undefined);
  }
  const key = initialResult.idempotencyKey;
  if (initialResult.status !== KEY_REQUIRED_STATUS || key === undefined) {
    return { result: initialResult, record: undefined, attempts: 1 };
  }
  const record: KeyRecord = { key, className: options.className, observations: [] };
  const sendRecorded = async (): Promise<AttemptResult> => {
    const result = await options.send(key);
    const { kind, reportedExecution, failureCode, requestId } = result;
    record.observations.push({
      kind,
      reportedExecution,
      failureCode,
      requestId,
      atMilliseconds: options.now(),
    });
    return result;
  };
  const firstResults = await Promise.all(
    options.sendTwice ? [sendRecorded(), sendRecorded()] : [sendRecorded()],
  );
  let result = firstResults.reduce(preferComplete);
  for (let resend = 0; resend < options.maximumResends && isOutcomeUnknown(result); resend += 1) {
    await sleep(options.drawResendDelay?.() ?? 0);
    result = await sendRecorded();
  }
  if (options.resendCompleted && !isOutcomeUnknown(result)) {
    await sleep(options.drawResendDelay?.() ?? 0);
    await sendRecorded();
  }
  return { result, record, attempts: 1 + record.observations.length };
}
