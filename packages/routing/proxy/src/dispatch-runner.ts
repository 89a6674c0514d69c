/**
 * Runs a request at its dispatcher: acquires a slot, makes an attempt and retries where allowed.
 */
import type { Fingerprint } from '@dogwoodstall/crash-guard';
import type { DispatchRequest, SlotGrant } from '@dogwoodstall/dispatch';
import type { ExecutionPermit, RecordedResponse } from '@dogwoodstall/idempotency';
import { FailureError, toFailure } from '@dogwoodstall/results';
import type { AttemptResult, BackendClient } from './backend-client.js';
import type { Exchange } from './exchange.js';
import { createCrashFingerprint } from './fingerprint.js';
import type { RetryBudget } from './retry-budget.js';

/** Options of `DispatchRunner`. */
export interface DispatchRunnerOptions {
  /** Acquires a slot of a cell; rejects with a `FailureError`. */
  readonly acquire: (cell: string, request: DispatchRequest) => Promise<SlotGrant>;
  readonly backend: BackendClient;
  readonly retryBudget: RetryBudget;
}

function createDispatchRequest(
  exchange: Exchange,
  excluded: ReadonlySet<string>,
  fingerprint: Fingerprint,
): DispatchRequest {
  const { context, contract } = exchange;
  return {
    requestId: context.requestId,
    service: context.service.name,
    routeName: context.route.name,
    organisation: context.organisation,
    sizeClass: context.route.sizeClass ?? contract.sizeClass,
    priority: context.route.priority ?? contract.priority,
    deadlineAt: context.deadlineAt,
    originZone: context.originZone,
    excludedEndpoints: excluded,
    signal: exchange.signal,
    fingerprint,
  };
}

async function acquireSlot(
  exchange: Exchange,
  pendingGrant: Promise<SlotGrant>,
): Promise<SlotGrant> {
  try {
    return await pendingGrant;
  } catch (cause) {
    // "Not run" would be false after an earlier attempt that may have run.
    throw exchange.uncertainError ?? new FailureError(toFailure(cause).kind, undefined, { cause });
  }
}

/** Runs requests on endpoints of the cells that this daemon dispatches. */
export class DispatchRunner {
  constructor(private readonly options: DispatchRunnerOptions) {}

  /**
   * Runs a request; resolves when the complete response has been forwarded. A permit marks a
   * non-idempotent request, whose response is returned for its idempotency record.
   */
  async run(
    exchange: Exchange,
    cell: string,
    permit: ExecutionPermit | undefined,
  ): Promise<RecordedResponse | undefined> {
    const excludedEndpoints = new Set<string>();
    const fingerprint = createCrashFingerprint(exchange);
    this.options.retryBudget.deposit(exchange.context.service.name, exchange.contract.retryBudget);
    for (let attempts = 1; ; attempts += 1) {
      const { result, endpoint } = await this.attempt(
        exchange,
        cell,
        excludedEndpoints,
        fingerprint,
        permit,
      );
      if (result.failure === undefined) {
        return result.recordedResponse;
      }
      if (!result.notRun) {
        Object.assign(exchange, { uncertainError: exchange.uncertainError ?? result.failure });
      }
      excludedEndpoints.add(endpoint);
      this.assertRetryAllowed(exchange, result, result.failure, attempts);
    }
  }

  private async attempt(
    exchange: Exchange,
    cell: string,
    excluded: ReadonlySet<string>,
    fingerprint: Fingerprint,
    permit: ExecutionPermit | undefined,
  ): Promise<{ result: AttemptResult; endpoint: string }> {
    const { acquire, backend } = this.options;
    const request = createDispatchRequest(exchange, excluded, fingerprint);
    const grant = await acquireSlot(exchange, acquire(cell, request));
    const endpoint = grant.endpoint.name;
    const result = await backend.attempt(exchange, grant, permit);
    Object.assign(exchange.decision, { endpoint, status: result.outcome.status });
    exchange.decision.attempts.push({
      endpoint,
      outcome: result.outcome.kind,
      queuedMilliseconds: grant.queuedMilliseconds,
      milliseconds: result.outcome.milliseconds,
    });
    return { result, endpoint };
  }

  private assertRetryAllowed(
    exchange: Exchange,
    result: AttemptResult,
    failure: FailureError,
    attempts: number,
  ): void {
    const { context, contract } = exchange;
    const allowed =
      (result.notRun || (context.route.idempotent && result.outcome.kind === 'reset')) &&
      attempts < contract.maximumAttempts &&
      exchange.body.replayable &&
      !exchange.response.headersSent &&
      !exchange.signal.aborted &&
      result.outcome.kind !== 'cancelled';
    if (!allowed) {
      throw exchange.uncertainError ?? failure;
    }
    if (!this.options.retryBudget.take(context.service.name)) {
      throw exchange.uncertainError ?? new FailureError('RetryBudgetExhausted');
    }
  }
}
