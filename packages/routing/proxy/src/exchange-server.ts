/**
 * The frame around each exchange, on the caller port and on the peer port: counting, the failure
 * answer, the decision, and the state of a planned stop.
 */
import type { ServerResponse } from 'node:http';
import { type Failure, FailureError, toFailure } from '@dogwoodstall/results';
import { describeExecution, sendFailure } from './failure-response.js';
import { type Decision, DecisionRing, setFailure } from './decision.js';
import type { Exchange } from './exchange.js';
import { InFlight } from './in-flight-counter.js';

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

function correctFailure(exchange: Exchange, failure: Failure): Failure {
  const { unproved } = exchange;
  const untrue = unproved !== undefined && describeExecution(failure) === 'not-run';
  return untrue ? unproved.failure : failure;
}

// The answer to a pipelined request gets no close event when its connection ends before its turn.
function waitUntilClosed(response: ServerResponse): Promise<void> {
  const { socket } = response.req;
  if (response.writableFinished || response.destroyed || socket.destroyed) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const end = (): void => {
      response.off('close', end);
      socket.off('close', end);
      resolve();
    };
    response.on('close', end);
    socket.on('close', end);
  });
}

/** Runs exchanges and answers their failures. */
export class ExchangeServer {
  readonly decisions: DecisionRing;

  readonly inFlight = new InFlight();

  private readonly responses = new Set<ServerResponse>();

  private stopBegun = false;

  constructor(private readonly options: ExchangeServerOptions) {
    this.decisions = new DecisionRing(options.decisionRingSize ?? DECISION_RING_SIZE);
  }

  /** Whether a planned stop has begun. */
  get stopping(): boolean {
    return this.stopBegun;
  }

  /** Lets every answer that has not begun close its connection, from now on. */
  beginStop(): void {
    this.stopBegun = true;
    for (const response of this.responses) {
      Object.assign(response, { shouldKeepAlive: false });
    }
  }

  /** Counts a request from its headers until its answer has left or its connection has ended. */
  async track(
    response: ServerResponse,
    requestId: string,
    work: () => Promise<void>,
  ): Promise<void> {
    this.inFlight.enter();
    this.responses.add(response);
    if (this.stopBegun) {
      Object.assign(response, { shouldKeepAlive: false });
    }
    try {
      await work();
    } catch (error) {
      this.tellFailure(response, requestId, error);
    }
    await waitUntilClosed(response);
    this.responses.delete(response);
    this.inFlight.leave();
  }

  /** Runs an exchange to its end and tells its failure. */
  async run(
    exchange: Exchange,
    serve: (exchange: Exchange) => Promise<void>,
    extraHeaders: (failure: Failure) => Record<string, string>,
  ): Promise<void> {
    const { decision, facts, response } = exchange;
    const startedAt = performance.now();
    try {
      await serve(exchange);
    } catch (error) {
      this.reportUnexpected(facts.requestId, error);
      const failure = correctFailure(exchange, toFailure(error));
      setFailure(decision, failure);
      exchange.markFailureTold();
      sendFailure(response, failure, facts.requestId, extraHeaders(failure));
    }
    exchange.finish();
    decision.totalMilliseconds = performance.now() - startedAt;
    this.decisions.add(decision);
    this.options.onDecision(decision);
  }

  private tellFailure(response: ServerResponse, requestId: string, error: unknown): void {
    this.reportUnexpected(requestId, error);
    sendFailure(response, toFailure(error), requestId);
  }

  private reportUnexpected(requestId: string, error: unknown): void {
    if (!(error instanceof FailureError)) {
      this.options.onUnexpectedError?.(requestId, error);
    }
  }
}
