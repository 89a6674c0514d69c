/**
 * The attempts of one request at the dispatcher: slot, attempt, and a retry where it is allowed.
 */
import type { Fingerprint } from '@dogwoodstall/crash-guard';
import type { DispatchRequest, SlotGrant } from '@dogwoodstall/dispatch';
import type { ExecutionPermit, RecordedResponse } from '@dogwoodstall/idempotency';
import { FailureError, toFailure } from '@dogwoodstall/results';
import type { AttemptEnd, BackendClient } from './backend-client.js';
import type { Exchange } from './exchange.js';
import { fingerprintWork } from './fingerprint.js';
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
  const { facts, contract } = exchange;
  return {
    requestId: facts.requestId,
    service: facts.service.name,
    routeName: facts.route.name,
    organisation: facts.organisation,
    sizeClass: facts.route.sizeClass ?? contract.sizeClass,
    priority: facts.route.priority ?? contract.priority,
    deadlineAt: facts.deadlineAt,
    originZone: facts.originZone,
    excludedEndpoints: excluded,
    signal: exchange.signal,
    fingerprint,
  };
}

async function acquireSlot(exchange: Exchange, grant: Promise<SlotGrant>): Promise<SlotGrant> {
  try {
    return await grant;
  } catch (error) {
    // "Not run" would be wrong after an attempt that may have run.
    throw exchange.unproved ?? new FailureError(toFailure(error).kind, undefined, { cause: error });
  }
}

/** Runs requests on the endpoints of cells that this daemon dispatches. */
export class DispatchRunner {
  constructor(private readonly options: DispatchRunnerOptions) {}

  /**
   * Runs a request; resolves when its whole answer has been passed on. With a permit, the request is
   * non-idempotent and the answer is returned for its record.
   */
  async run(
    exchange: Exchange,
    cell: string,
    permit: ExecutionPermit | undefined,
  ): Promise<RecordedResponse | undefined> {
    const excluded = new Set<string>();
    const fingerprint = fingerprintWork(exchange);
    this.options.retryBudget.deposit(exchange.facts.service.name, exchange.contract.retryBudget);
    for (let attempts = 1; ; attempts += 1) {
      const { end, endpoint } = await this.attempt(exchange, cell, excluded, fingerprint, permit);
      if (end.failure === undefined) {
        return end.answer;
      }
      if (!end.notRun) {
        Object.assign(exchange, { unproved: exchange.unproved ?? end.failure });
      }
      excluded.add(endpoint);
      this.checkRetry(exchange, end, end.failure, attempts);
    }
  }

  private async attempt(
    exchange: Exchange,
    cell: string,
    excluded: ReadonlySet<string>,
    fingerprint: Fingerprint,
    permit: ExecutionPermit | undefined,
  ): Promise<{ end: AttemptEnd; endpoint: string }> {
    const { acquire, backend } = this.options;
    const request = createDispatchRequest(exchange, excluded, fingerprint);
    const grant = await acquireSlot(exchange, acquire(cell, request));
    const endpoint = grant.endpoint.name;
    const end = await backend.attempt(exchange, grant, permit);
    Object.assign(exchange.decision, { endpoint, status: end.outcome.status });
    exchange.decision.attempts.push({
      endpoint,
      outcome: end.outcome.kind,
      queuedMilliseconds: grant.queuedMilliseconds,
      milliseconds: end.outcome.milliseconds,
    });
    return { end, endpoint };
  }

  private checkRetry(
    exchange: Exchange,
    end: AttemptEnd,
    failure: FailureError,
    attempts: number,
  ): void {
    const { facts, contract } = exchange;
    const allowed =
      (end.notRun || (facts.route.idempotent && end.outcome.kind === 'reset')) &&
      attempts < contract.maximumAttempts &&
      exchange.body.replayable &&
      !exchange.response.headersSent &&
      !exchange.signal.aborted &&
      end.outcome.kind !== 'cancelled';
    if (!allowed) {
      throw exchange.unproved ?? failure;
    }
    if (!this.options.retryBudget.take(facts.service.name)) {
      throw exchange.unproved ?? new FailureError('RetryBudgetExhausted');
    }
  }
}
