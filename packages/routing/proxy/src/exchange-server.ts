/**
 * Common handling of exchanges on the caller port and the peer port: counts requests in flight, sends
 * failure responses, records decisions and tracks graceful shutdown.
 */
import type { ServerResponse } from 'node:http';
import { type Failure, FailureError, toFailure } from '@dogwoodstall/results';
import { describeExecution, sendFailure } from './failure-response.js';
import { type Decision, DecisionRing, setFailure } from './decision.js';
import type { Exchange } from './exchange.js';
import { InFlightCounter } from './in-flight-counter.js';

const DECISION_RING_SIZE = 1000;

/** Options of `ExchangeServer`. */
export interface ExchangeServerOptions {
  /** Receives the decision of each completed request. */
  readonly onDecision: (decision: Decision) => void;
  /** Receives errors that are not a `FailureError`; each indicates a bug. */
  readonly onUnexpectedError?: (requestId: string, error: unknown) => void;
  /** Number of decisions retained for `explain`; 1000 by default. */
  readonly decisionRingSize?: number;
}

function replaceFalseNotRun(exchange: Exchange, failure: Failure): Failure {
  const { uncertainError } = exchange;
  const claimsNotRun = uncertainError !== undefined && describeExecution(failure) === 'not-run';
  return claimsNotRun ? uncertainError.failure : failure;
}

// A queued response to a pipelined request emits no close event when its connection closes first, so
// the socket is observed too.
function waitUntilClosed(response: ServerResponse): Promise<void> {
  const { socket } = response.req;
  if (response.writableFinished || response.destroyed || socket.destroyed) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const onClose = (): void => {
      response.off('close', onClose);
      socket.off('close', onClose);
      resolve();
    };
    response.on('close', onClose);
    socket.on('close', onClose);
  });
}

/** Runs exchanges and sends their failure responses. */
export class ExchangeServer {
  readonly decisions: DecisionRing;

  readonly inFlight = new InFlightCounter();

  private readonly openResponses = new Set<ServerResponse>();

  private stopStarted = false;

  constructor(private readonly options: ExchangeServerOptions) {
    this.decisions = new DecisionRing(options.decisionRingSize ?? DECISION_RING_SIZE);
  }

  /** Whether graceful shutdown has started. */
  get stopping(): boolean {
    return this.stopStarted;
  }

  /** Makes every response whose headers are not sent yet close its connection. */
  beginStop(): void {
    this.stopStarted = true;
    for (const response of this.openResponses) {
      Object.assign(response, { shouldKeepAlive: false });
    }
  }

  /** Counts a request as in flight until its response is sent or its connection is closed. */
  async track(
    response: ServerResponse,
    requestId: string,
    work: () => Promise<void>,
  ): Promise<void> {
    this.inFlight.increment();
    this.openResponses.add(response);
    if (this.stopStarted) {
      Object.assign(response, { shouldKeepAlive: false });
    }
    try {
      await work();
    } catch (error) {
      this.respondWithFailure(response, requestId, error);
    }
    await waitUntilClosed(response);
    this.openResponses.delete(response);
    this.inFlight.decrement();
  }

  /** Runs an exchange, sends a failure response if it fails, and records its decision. */
  async run(
    exchange: Exchange,
    serve: (exchange: Exchange) => Promise<void>,
    extraHeaders: (failure: Failure) => Record<string, string>,
  ): Promise<void> {
    const { decision, context, response } = exchange;
    const startedAt = performance.now();
    try {
      await serve(exchange);
    } catch (error) {
      this.reportUnexpected(context.requestId, error);
      const failure = replaceFalseNotRun(exchange, toFailure(error));
      setFailure(decision, failure);
      exchange.markFailureSent();
      sendFailure(response, failure, context.requestId, extraHeaders(failure));
    }
    exchange.finish();
    decision.totalMilliseconds = performance.now() - startedAt;
    this.decisions.add(decision);
    this.options.onDecision(decision);
  }

  private respondWithFailure(response: ServerResponse, requestId: string, error: unknown): void {
    this.reportUnexpected(requestId, error);
    sendFailure(response, toFailure(error), requestId);
  }

  private reportUnexpected(requestId: string, error: unknown): void {
    if (!(error instanceof FailureError)) {
      this.options.onUnexpectedError?.(requestId, error);
    }
  }
}
