/**
 * Sends requests to backend servers through one connection pool per endpoint, and classifies the
 * outcome of each attempt for the dispatcher.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { SlotGrant } from '@dogwoodstall/dispatch';
import type { AttemptOutcome, OutcomeKind } from '@dogwoodstall/health';
import type { ExecutionPermit, RecordedResponse } from '@dogwoodstall/idempotency';
import type { BackendServer } from '@dogwoodstall/model';
import { FailureError, isFailure } from '@dogwoodstall/results';
import { Pool } from 'undici';
import { composeResponseHeaders } from './response-headers.js';
import { ResponseRecorder } from './response-recorder.js';
import type { Exchange } from './exchange.js';
import { readHeader, REQUEST_ID_HEADER, REQUEST_TIMEOUT_HEADER } from './headers.js';
import { parseLoadReport } from './load-report.js';
import { ConnectionRefusalCheck } from './connection-refusal-check.js';
import { type ResponseClassification, type TransferResult, transfer } from './transfer.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;
const KEEP_ALIVE_MILLISECONDS = 4000;
const MAXIMUM_POOL_CONNECTIONS = 128;

/** Options of `BackendClient`. */
export interface BackendClientOptions {
  /** Time to establish a connection; 1000 by default. */
  readonly connectTimeoutMilliseconds?: number;
  /** Maximum connections per endpoint from this daemon; 128 by default, capped by the endpoint's limit. */
  readonly connectionsPerEndpoint?: number;
}

/** Result of an attempt. */
export interface AttemptResult {
  /** Undefined after a complete response. */
  readonly failure: FailureError | undefined;
  /** Whether the backend server certainly did not run the request. */
  readonly notRun: boolean;
  readonly outcome: AttemptOutcome;
  /** Copy of a complete response, if recording was requested and the size limit was not exceeded. */
  readonly recordedResponse: RecordedResponse | undefined;
}

interface ClassifiedAttempt {
  readonly kind: OutcomeKind;
  readonly failure: FailureError | undefined;
  readonly notRun: boolean;
}

function errorCode(error: Error | undefined): string {
  return error !== undefined && 'code' in error ? String(error.code) : '';
}

function classifyAborted(result: TransferResult): ClassifiedAttempt {
  const cancelled = isFailure(result.error, 'CallerCancelled');
  if (!result.sent) {
    const failure = new FailureError(cancelled ? 'CancelledInQueue' : 'DeadlineInQueue');
    return { kind: 'cancelled', failure, notRun: true };
  }
  // A slow caller that delays the response past the deadline is no fault of the backend server.
  const timeout = isFailure(result.error, 'BackendTimeout') && !result.blockedByCaller;
  const failure = result.error as FailureError;
  return { kind: timeout ? 'timeout' : 'cancelled', failure, notRun: false };
}

function classifyNotSent(result: TransferResult): ClassifiedAttempt {
  if (result.error instanceof FailureError) {
    return { kind: 'cancelled', failure: result.error, notRun: true };
  }
  const options = { cause: result.error };
  if (errorCode(result.error) === 'UND_ERR_INVALID_ARG') {
    const failure = new FailureError('RequestMalformed', result.error?.message, options);
    return { kind: 'cancelled', failure, notRun: true };
  }
  const timedOut = errorCode(result.error) === 'UND_ERR_CONNECT_TIMEOUT';
  const name = timedOut ? 'BackendConnectTimeout' : 'BackendRefused';
  return { kind: 'refused', failure: new FailureError(name, undefined, options), notRun: true };
}

function classifyBroken(result: TransferResult): ClassifiedAttempt {
  if (isFailure(result.error, 'RequestBodyIncomplete')) {
    return { kind: 'cancelled', failure: result.error, notRun: false };
  }
  const options = { cause: result.error };
  const malformed = errorCode(result.error).startsWith('HPE_');
  const name = malformed ? 'BackendAnswerMalformed' : 'BackendReset';
  return { kind: 'reset', failure: new FailureError(name, undefined, options), notRun: false };
}

function classifyResult(result: TransferResult): ClassifiedAttempt {
  switch (result.kind) {
    case 'complete': {
      const kind = (result.status ?? 0) >= 500 ? 'server-error' : 'success';
      return { kind, failure: undefined, notRun: false };
    }
    case 'discarded':
      return { kind: 'shed', failure: new FailureError('BackendShed'), notRun: true };
    case 'not-sent':
      return classifyNotSent(result);
    case 'aborted':
      return classifyAborted(result);
    case 'broken':
      return classifyBroken(result);
    default: {
      const malformed = isFailure(result.error, 'BackendAnswerMalformed')
        ? result.error
        : undefined;
      const failure =
        malformed ?? new FailureError('BackendAnswerCut', undefined, { cause: result.error });
      return { kind: 'cut-answer', failure, notRun: false };
    }
  }
}

function classifyResponse(
  exchange: Exchange,
  recorder: ResponseRecorder | undefined,
  status: number,
  headers: IncomingHttpHeaders,
): ResponseClassification {
  const echoed = readHeader(headers, REQUEST_ID_HEADER);
  if (echoed !== undefined && echoed !== exchange.context.requestId) {
    const message = 'the response carries the id of another request';
    throw new FailureError('BackendAnswerMalformed', message);
  }
  if (status === 503 && readHeader(headers, 'request-not-run') === 'true') {
    // The backend server may send the refusal once more, which then looks like the response to the next attempt.
    return { forward: false, closeConnection: true };
  }
  const responseHeaders = composeResponseHeaders(exchange, headers);
  recorder?.start(status, responseHeaders);
  return { forward: true, headers: responseHeaders };
}

function describeOutcome(
  exchange: Exchange,
  result: TransferResult,
  kind: OutcomeKind,
): AttemptOutcome {
  return {
    kind,
    routeName: exchange.context.route.name,
    organisation: exchange.context.organisation,
    milliseconds: result.milliseconds,
    status: result.status,
    reportedLoad: parseLoadReport(readHeader(result.headers, 'endpoint-load-metrics')),
    draining: readHeader(result.headers, 'backend-draining') === 'true',
  };
}

/** Makes attempts at backend servers. */
export class BackendClient {
  private readonly pools = new Map<string, Pool>();

  private readonly refusals = new ConnectionRefusalCheck();

  constructor(private readonly options: BackendClientOptions = {}) {}

  /** Makes one attempt with a granted slot, then releases the slot. Never rejects. */
  async attempt(
    exchange: Exchange,
    grant: SlotGrant,
    permit: ExecutionPermit | undefined,
  ): Promise<AttemptResult> {
    const recorder = permit && new ResponseRecorder(exchange.contract.recordedAnswerBytes);
    const { context } = exchange;
    const result = await transfer({
      dispatcher: this.openPool(grant.endpoint),
      origin: `http://${grant.endpoint.address}`,
      path: context.target,
      method: context.method,
      headers: [
        ...context.headers,
        REQUEST_ID_HEADER,
        context.requestId,
        REQUEST_TIMEOUT_HEADER,
        String(Math.ceil(exchange.remainingMilliseconds)),
      ],
      body: exchange.body,
      response: exchange.response,
      signal: exchange.signal,
      onBeforeSend: () => {
        permit?.begin();
        exchange.markSending();
      },
      classifyResponse: (status, headers) => classifyResponse(exchange, recorder, status, headers),
      recordChunk: recorder?.add,
    });
    const classified = classifyResult(result);
    if (classified.notRun) {
      permit?.proveNotRun();
    }
    const broken = classified.kind === 'reset' || classified.kind === 'cut-answer';
    const refusedAfterwards = broken && (await this.refusals.check(grant.endpoint.address));
    const outcome = { ...describeOutcome(exchange, result, classified.kind), refusedAfterwards };
    grant.release(outcome);
    const recordedResponse = classified.failure === undefined ? recorder?.finish() : undefined;
    return { failure: classified.failure, notRun: classified.notRun, outcome, recordedResponse };
  }

  /** Closes the pools of endpoints that are no longer configured, after their last response. */
  retainEndpoints(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (!addresses.has(address)) {
        this.pools.delete(address);
        pool.close().catch(() => {});
      }
    }
  }

  /** Closes all pools after their last responses. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.close()));
  }

  private openPool(endpoint: BackendServer): Pool {
    let pool = this.pools.get(endpoint.address);
    if (pool === undefined) {
      const limit = this.options.connectionsPerEndpoint ?? MAXIMUM_POOL_CONNECTIONS;
      pool = new Pool(`http://${endpoint.address}`, {
        connections: Math.min(limit, endpoint.connectionLimit),
        pipelining: 1,
        connect: {
          timeout: this.options.connectTimeoutMilliseconds ?? CONNECT_TIMEOUT_MILLISECONDS,
        },
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        // The deadline of the exchange covers both phases.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.pools.set(endpoint.address, pool);
    }
    return pool;
  }
}
