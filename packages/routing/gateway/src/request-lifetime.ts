/**
 * The lifetime of a request: from its arrival until its response is ready. It ends early when the caller disconnects, the
 * deadline passes or the graceful shutdown is over. Everything that waits on behalf of a request does so with the signal of
 * its lifetime.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as results from '@dogwoodstall/results';

/** Options of `RequestLifetime`. */
export interface RequestLifetimeOptions {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Aborted when the graceful shutdown is over. */
  readonly stopSignal: AbortSignal;
}

/** The results of a request whose lifetime has ended early, if it may have reached an endpoint and if not. */
interface EarlyEnd {
  readonly sent: results.ResultName;
  readonly unsent: results.ResultName;
}

const earlyEnds = {
  caller: { sent: 'CallerCancelled', unsent: 'CancelledInQueue' },
  deadline: { sent: 'BackendTimeout', unsent: 'DeadlineUnreachable' },
  stop: { sent: 'NotReady', unsent: 'NotReady' },
} as const satisfies Record<string, EarlyEnd>;

/** The lifetime of one request. */
export class RequestLifetime {
  private readonly abortController = new AbortController();

  private readonly closeCallbacks: (() => void)[] = [];

  private deadlineTimer: NodeJS.Timeout | undefined;

  private readonly socket: net.Socket;

  private earlyEnd: EarlyEnd | undefined;

  private hasEnded = false;

  private hasClosed = false;

  constructor(private readonly options: RequestLifetimeOptions) {
    const { request, response, stopSignal } = options;
    this.socket = request.socket;
    response.once('close', this.onClose);
    // Node.js emits no `close` for a response that is queued behind another one when its connection closes.
    this.socket.once('close', this.onClose);
    this.socket.once('end', this.onCallerEnd);
    stopSignal.addEventListener('abort', this.onStop, { once: true });
    if (stopSignal.aborted) {
      this.onStop();
    }
  }

  /** Aborted with a `FailureError` when the lifetime ends early. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Whether the response has been sent or can't be sent any more. */
  get isClosed(): boolean {
    return this.hasClosed;
  }

  /** Why the lifetime has ended early, for a request that has reached no endpoint; undefined if it has not. */
  get unsentFailure(): results.Failure | undefined {
    return this.earlyEnd && results.createFailure(this.earlyEnd.unsent);
  }

  /** Ends the lifetime at the given monotonic time in milliseconds. */
  setDeadline(deadlineAt: number): void {
    if (!this.hasEnded) {
      clearTimeout(this.deadlineTimer);
      const remaining = Math.max(0, deadlineAt - performance.now());
      this.deadlineTimer = setTimeout(() => this.endEarly(earlyEnds.deadline), remaining);
    }
  }

  /** Throws the failure of a request that has reached no endpoint if its lifetime has ended early. */
  throwIfEnded(): void {
    if (this.earlyEnd !== undefined) {
      throw new results.FailureError(this.earlyEnd.unsent);
    }
  }

  /** Calls back when the response has been sent or can't be sent any more, which may be long after `end`. */
  onceClosed(callback: () => void): void {
    if (this.hasClosed) {
      callback();
    } else {
      this.closeCallbacks.push(callback);
    }
  }

  /** Ends the lifetime because the response is ready. */
  end(): void {
    this.hasEnded = true;
    clearTimeout(this.deadlineTimer);
    this.options.stopSignal.removeEventListener('abort', this.onStop);
  }

  private readonly onClose = (): void => {
    this.options.response.off('close', this.onClose);
    this.socket.off('close', this.onClose);
    this.socket.off('end', this.onCallerEnd);
    this.hasClosed = true;
    this.endEarly(earlyEnds.caller);
    for (const callback of this.closeCallbacks.splice(0)) {
      callback();
    }
  };

  // A caller that ends its side has left: the HTTP server closes the connection then.
  private readonly onCallerEnd = (): void => this.endEarly(earlyEnds.caller);

  private readonly onStop = (): void => this.endEarly(earlyEnds.stop);

  private endEarly(earlyEnd: EarlyEnd): void {
    if (!this.hasEnded) {
      this.end();
      this.earlyEnd = earlyEnd;
      this.abortController.abort(new results.FailureError(earlyEnd.sent));
    }
  }
}
