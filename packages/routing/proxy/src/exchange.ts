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
export interface ExchangeFacts {
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
  private readonly work = new AbortController();

  private readonly deadlineTimer: NodeJS.Timeout;

  /** The failure of an attempt that may have run; later failures can't say "not run" any more. */
  unproved: FailureError | undefined;

  /** Set while the work goes on without its caller, so that a resend gets the answer. */
  detached = false;

  private failureTold = false;

  constructor(
    readonly facts: ExchangeFacts,
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    readonly body: CallerBody,
    readonly decision: Decision,
  ) {
    const remaining = Math.max(0, facts.deadlineAt - performance.now());
    this.deadlineTimer = setTimeout(
      () => this.work.abort(new FailureError('BackendTimeout', 'the deadline passed')),
      Math.min(remaining, MAXIMUM_TIMER_MILLISECONDS),
    );
    response.once('close', this.onClose);
  }

  get contract(): Contract {
    return this.facts.service.contract;
  }

  /** Aborted at the deadline and when the caller goes away; the reason is a `FailureError`. */
  get signal(): AbortSignal {
    return this.work.signal;
  }

  get remainingMilliseconds(): number {
    return Math.max(0, this.facts.deadlineAt - performance.now());
  }

  /** Called before bytes of the request leave for a backend server or another daemon. */
  markSending(): void {
    if (this.failureTold) {
      reportViolation('ExecutedAfterNotRun', `request ${this.facts.requestId} was answered before`);
      throw new FailureError('ExecutedAfterNotRun');
    }
  }

  /** Ends the work of the exchange, such as for a body that arrives too slowly. */
  abort(reason: FailureError): void {
    this.work.abort(reason);
  }

  /** Called when the caller is told about a failure. */
  markFailureTold(): void {
    this.failureTold = true;
  }

  /** Ends the exchange's timer and listeners. */
  finish(): void {
    clearTimeout(this.deadlineTimer);
    this.response.off('close', this.onClose);
  }

  private readonly onClose = (): void => {
    if (!this.response.writableFinished && !(this.detached && this.body.complete)) {
      this.work.abort(new FailureError('CallerCancelled'));
    }
  };
}
