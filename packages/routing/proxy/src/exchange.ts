/**
 * One request of a caller on its way through this daemon.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Contract, Route, Service } from '@dogwoodstall/model';
import { FailureError, reportViolation } from '@dogwoodstall/results';
import type { CallerBody } from './caller-body.js';
import type { Decision } from './decision.js';

/** Longest delay of a timer of Node.js. */
const MAXIMUM_TIMER_MILLISECONDS = 2_147_483_647;

/** The facts of an exchange. */
export interface ExchangeContext {
  readonly requestId: string;
  readonly route: Route;
  readonly service: Service;
  readonly organisation: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Flat list of names and values, as they go to the backend server. */
  readonly headers: readonly string[];
  readonly deadlineAt: number;
  readonly originZone: string;
  /** Daemons that the request has passed before this one. */
  readonly hops: number;
  readonly idempotencyKey: string | undefined;
  /** Cell that the entry chose; undefined at the entry. */
  readonly cell: string | undefined;
}

/** One exchange: facts, body, answer, deadline and decision. */
export class Exchange {
  private readonly abortController = new AbortController();

  private readonly deadlineTimer: NodeJS.Timeout;

  /** The failure of an attempt that may have run; later failures can't say "not run" any more. */
  uncertainFailure: FailureError | undefined;

  /** Set while the work goes on without its caller, so that a resend gets the answer. */
  detached = false;

  private failureSent = false;

  constructor(
    readonly context: ExchangeContext,
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    readonly body: CallerBody,
    readonly decision: Decision,
  ) {
    const remaining = Math.max(0, context.deadlineAt - performance.now());
    this.deadlineTimer = setTimeout(
      () => this.abortController.abort(new FailureError('BackendTimeout', 'the deadline passed')),
      Math.min(remaining, MAXIMUM_TIMER_MILLISECONDS),
    );
    response.once('close', this.onClose);
  }

  get contract(): Contract {
    return this.context.service.contract;
  }

  /** Aborted at the deadline and when the caller goes away; the reason is a `FailureError`. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get remainingMilliseconds(): number {
    return Math.max(0, this.context.deadlineAt - performance.now());
  }

  /** Called before bytes of the request leave for a backend server or another daemon. */
  markSending(): void {
    if (this.failureSent) {
      reportViolation(
        'ExecutedAfterNotRun',
        `request ${this.context.requestId} was answered before`,
      );
      throw new FailureError('ExecutedAfterNotRun');
    }
  }

  /** Ends the work of the exchange, such as for a body that arrives too slowly. */
  abort(reason: FailureError): void {
    this.abortController.abort(reason);
  }

  /** Called when the caller is told about a failure. */
  markFailureSent(): void {
    this.failureSent = true;
  }

  /** Ends the exchange's timer and listeners. */
  finish(): void {
    clearTimeout(this.deadlineTimer);
    this.response.off('close', this.onClose);
  }

  private readonly onClose = (): void => {
    if (!this.response.writableFinished && !(this.detached && this.body.complete)) {
      this.abortController.abort(new FailureError('CallerCancelled'));
    }
  };
}
