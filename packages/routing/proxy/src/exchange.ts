/**
 * The state of one caller request while this daemon handles it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Contract, Route, Service } from '@dogwoodstall/model';
import { FailureError, reportViolation } from '@dogwoodstall/results';
import type { CallerBody } from './caller-body.js';
import type { Decision } from './decision.js';

/** Node.js fires a timer with a longer delay at once. */
const MAXIMUM_TIMER_MILLISECONDS = 2_147_483_647;

/** Immutable metadata of an exchange. */
export interface ExchangeContext {
  readonly requestId: string;
  readonly route: Route;
  readonly service: Service;
  readonly organisation: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Flat list of names and values, as sent to the backend server. */
  readonly headers: readonly string[];
  readonly deadlineAt: number;
  readonly originZone: string;
  /** Number of daemons that forwarded the request before this one. */
  readonly hops: number;
  readonly idempotencyKey: string | undefined;
  /** Cell chosen by the entry daemon; undefined at the entry daemon itself. */
  readonly cell: string | undefined;
}

/** A request with its body, response, deadline and decision. */
export class Exchange {
  private readonly abortController = new AbortController();

  private readonly deadlineTimer: NodeJS.Timeout;

  /** First failure of an attempt that may have run; later failures must not report "not run". */
  uncertainError: FailureError | undefined;

  /** Set when execution continues after the caller disconnects, so that a resend gets the response. */
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
    // The response to a pipelined request emits no `close` before its turn has come.
    request.socket.once('close', this.onClose);
  }

  get contract(): Contract {
    return this.context.service.contract;
  }

  /** Aborted at the deadline and when the caller disconnects; the reason is a `FailureError`. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get remainingMilliseconds(): number {
    return Math.max(0, this.context.deadlineAt - performance.now());
  }

  /** Called before any byte is sent to a backend server or to another daemon. */
  markSending(): void {
    if (this.failureSent) {
      reportViolation(
        'ExecutedAfterNotRun',
        `request ${this.context.requestId} already got a failure response`,
      );
      throw new FailureError('ExecutedAfterNotRun');
    }
  }

  /** Aborts the exchange, for example when the body arrives too slowly. */
  abort(reason: FailureError): void {
    this.abortController.abort(reason);
  }

  /** Called before the failure response is sent to the caller. */
  markFailureSent(): void {
    this.failureSent = true;
  }

  /** Clears the deadline timer and removes the listeners. */
  finish(): void {
    clearTimeout(this.deadlineTimer);
    this.response.off('close', this.onClose);
    this.request.socket.off('close', this.onClose);
  }

  private readonly onClose = (): void => {
    if (!this.response.writableFinished && !(this.detached && this.body.complete)) {
      this.abortController.abort(new FailureError('CallerCancelled'));
    }
  };
}
