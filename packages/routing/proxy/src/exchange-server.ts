/**
 * The frame around each exchange, on the caller port and on the peer port: counting, the failure
 * answer, the decision, and the state of a planned stop.
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
  /** Receives the decision about each request when it has ended. */
  readonly onDecision: (decision: Decision) => void;
  /** Receives errors that are no failures; each is a defect of the program. */
  readonly onUnexpectedError?: (requestId: string, error: unknown) => void;
  /** Decisions that are kept for `explain`; 1000 by default. */
  readonly decisionRingSize?: number;
}

function replaceFalseNotRun(exchange: Exchange, failure: Failure): Failure {
  const { uncertainFailure } = exchange;
  const contradicts = uncertainFailure !== undefined && describeExecution(failure) === 'not-run';
  return contradicts ? uncertainFailure.failure : failure;
}

// The answer to a pipelined request gets no close event when its connection ends before its turn.
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

/** Runs exchanges and answers their failures. */
export class ExchangeServer {
  readonly decisions: DecisionRing;

  readonly inFlight = new InFlightCounter();

  private readonly openResponses = new Set<ServerResponse>();

  private stopStarted = false;

  constructor(private readonly options: ExchangeServerOptions) {
    this.decisions = new DecisionRing(options.decisionRingSize ?? DECISION_RING_SIZE);
  }

  /** Whether a planned stop has begun. */
  get stopping(): boolean {
    return this.stopStarted;
  }

  /** Lets every answer that has not begun close its connection, from now on. */
  beginStop(): void {
    this.stopStarted = true;
    for (const response of this.openResponses) {
      Object.assign(response, { shouldKeepAlive: false });
    }
  }

  /** Counts a request from its headers until its answer has left or its connection has ended. */
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

  /** Runs an exchange to its end and tells its failure. */
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
