/**
 * Attempts at backend servers: one connection pool per endpoint, exact outcomes for the dispatcher.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { SlotGrant } from '@dogwoodstall/dispatch';
import type { AttemptOutcome, OutcomeKind } from '@dogwoodstall/health';
import type { ExecutionPermit, RecordedResponse } from '@dogwoodstall/idempotency';
import type { BackendServer } from '@dogwoodstall/model';
import { FailureError, isFailure } from '@dogwoodstall/results';
import { Pool } from 'undici';
import { composeAnswerHeaders } from './answer-headers.js';
import { AnswerRecorder } from './answer-recorder.js';
import type { Exchange } from './exchange.js';
import { readHeader, REQUEST_ID, REQUEST_TIMEOUT } from './headers.js';
import { parseLoadReport } from './load-report.js';
import { RefusalCheck } from './refusal-check.js';
import { type Judgement, type TransferEnd, transfer } from './transfer.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;
const KEEP_ALIVE_MILLISECONDS = 4000;
const MAXIMUM_POOL_CONNECTIONS = 128;

/** Options of `BackendClient`. */
export interface BackendClientOptions {
  /** Time to establish a connection; 1000 by default. */
  readonly connectTimeoutMilliseconds?: number;
  /** Connections per endpoint from this daemon; 128 and the endpoint's own limit by default. */
  readonly connectionsPerEndpoint?: number;
}

/** How an attempt ended. */
export interface AttemptEnd {
  /** Undefined after a whole answer. */
  readonly failure: FailureError | undefined;
  /** Whether it is proved that the backend server did not run the request. */
  readonly notRun: boolean;
  readonly outcome: AttemptOutcome;
  /** The copy of a whole answer when one was asked for and it was small enough. */
  readonly answer: RecordedResponse | undefined;
}

interface Classified {
  readonly kind: OutcomeKind;
  readonly failure: FailureError | undefined;
  readonly notRun: boolean;
}

function errorCode(error: Error | undefined): string {
  return error !== undefined && 'code' in error ? String(error.code) : '';
}

function classifyAborted(end: TransferEnd): Classified {
  const cancelled = isFailure(end.error, 'CallerCancelled');
  if (!end.sent) {
    const failure = new FailureError(cancelled ? 'CancelledInQueue' : 'DeadlineInQueue');
    return { kind: 'cancelled', failure, notRun: true };
  }
  // A caller that reads slowly until the deadline says nothing about the backend server.
  const timeout = isFailure(end.error, 'BackendTimeout') && !end.heldByCaller;
  const failure = end.error as FailureError;
  return { kind: timeout ? 'timeout' : 'cancelled', failure, notRun: false };
}

function classifyNotSent(end: TransferEnd): Classified {
  if (end.error instanceof FailureError) {
    return { kind: 'cancelled', failure: end.error, notRun: true };
  }
  const options = { cause: end.error };
  if (errorCode(end.error) === 'UND_ERR_INVALID_ARG') {
    const failure = new FailureError('RequestMalformed', end.error?.message, options);
    return { kind: 'cancelled', failure, notRun: true };
  }
  const timedOut = errorCode(end.error) === 'UND_ERR_CONNECT_TIMEOUT';
  const name = timedOut ? 'BackendConnectTimeout' : 'BackendRefused';
  return { kind: 'refused', failure: new FailureError(name, undefined, options), notRun: true };
}

function classifyBroken(end: TransferEnd): Classified {
  if (isFailure(end.error, 'RequestBodyIncomplete')) {
    return { kind: 'cancelled', failure: end.error, notRun: false };
  }
  const options = { cause: end.error };
  const malformed = errorCode(end.error).startsWith('HPE_');
  const name = malformed ? 'BackendAnswerMalformed' : 'BackendReset';
  return { kind: 'reset', failure: new FailureError(name, undefined, options), notRun: false };
}

function classify(end: TransferEnd): Classified {
  switch (end.kind) {
    case 'complete': {
      const kind = (end.status ?? 0) >= 500 ? 'server-error' : 'success';
      return { kind, failure: undefined, notRun: false };
    }
    case 'discarded':
      return { kind: 'shed', failure: new FailureError('BackendShed'), notRun: true };
    case 'not-sent':
      return classifyNotSent(end);
    case 'aborted':
      return classifyAborted(end);
    case 'broken':
      return classifyBroken(end);
    default: {
      const known = isFailure(end.error, 'BackendAnswerMalformed') ? end.error : undefined;
      const failure =
        known ?? new FailureError('BackendAnswerCut', undefined, { cause: end.error });
      return { kind: 'cut-answer', failure, notRun: false };
    }
  }
}

function judge(
  exchange: Exchange,
  recorder: AnswerRecorder | undefined,
  status: number,
  headers: IncomingHttpHeaders,
): Judgement {
  const echoed = readHeader(headers, REQUEST_ID);
  if (echoed !== undefined && echoed !== exchange.facts.requestId) {
    const message = 'the answer names another request';
    throw new FailureError('BackendAnswerMalformed', message);
  }
  if (status === 503 && readHeader(headers, 'request-not-run') === 'true') {
    return { pass: false };
  }
  const passed = composeAnswerHeaders(exchange, headers);
  recorder?.start(status, passed);
  return { pass: true, headers: passed };
}

function describeOutcome(exchange: Exchange, end: TransferEnd, kind: OutcomeKind): AttemptOutcome {
  return {
    kind,
    routeName: exchange.facts.route.name,
    organisation: exchange.facts.organisation,
    milliseconds: end.milliseconds,
    status: end.status,
    reportedLoad: parseLoadReport(readHeader(end.headers, 'endpoint-load-metrics')),
    draining: readHeader(end.headers, 'backend-draining') === 'true',
  };
}

/** Sends requests to backend servers. */
export class BackendClient {
  private readonly pools = new Map<string, Pool>();

  private readonly refusals = new RefusalCheck();

  constructor(private readonly options: BackendClientOptions = {}) {}

  /** Runs one attempt on a granted slot and releases the slot. Never rejects. */
  async attempt(
    exchange: Exchange,
    grant: SlotGrant,
    permit: ExecutionPermit | undefined,
  ): Promise<AttemptEnd> {
    const recorder = permit && new AnswerRecorder(exchange.contract.recordedAnswerBytes);
    const { facts } = exchange;
    const end = await transfer({
      dispatcher: this.openPool(grant.endpoint),
      origin: `http://${grant.endpoint.address}`,
      path: facts.target,
      method: facts.method,
      headers: [
        ...facts.headers,
        REQUEST_ID,
        facts.requestId,
        REQUEST_TIMEOUT,
        String(Math.ceil(exchange.remainingMilliseconds)),
      ],
      body: exchange.body,
      response: exchange.response,
      signal: exchange.signal,
      begin: () => {
        permit?.begin();
        exchange.markSending();
      },
      judge: (status, headers) => judge(exchange, recorder, status, headers),
      record: recorder?.add,
    });
    const classified = classify(end);
    if (classified.notRun) {
      permit?.proveNotRun();
    }
    const broken = classified.kind === 'reset' || classified.kind === 'cut-answer';
    const refusedAfterwards = broken && (await this.refusals.check(grant.endpoint.address));
    const outcome = { ...describeOutcome(exchange, end, classified.kind), refusedAfterwards };
    grant.release(outcome);
    const answer = classified.failure === undefined ? recorder?.finish() : undefined;
    return { failure: classified.failure, notRun: classified.notRun, outcome, answer };
  }

  /** Closes the pools of endpoints that are no longer configured, after their last answer. */
  retainEndpoints(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (!addresses.has(address)) {
        this.pools.delete(address);
        pool.close().catch(() => {});
      }
    }
  }

  /** Closes all pools after their last answers. */
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
        // The deadline of the exchange bounds both.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.pools.set(endpoint.address, pool);
    }
    return pool;
  }
}
