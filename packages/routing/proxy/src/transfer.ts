/**
 * Sends a request to one target and streams the response back to the caller. Chunks are forwarded
 * without a promise or timer per chunk; a slow caller pauses the connection to the target.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { FailureError, checkInvariant } from '@dogwoodstall/results';
import type { Dispatcher } from 'undici';
import type { CallerBody } from './caller-body.js';

/** Whether a response is forwarded to the caller. */
export type ResponseClassification =
  | { readonly forward: true; readonly headers: OutgoingHttpHeaders }
  /**
   * The response is not forwarded; up to 16 KiB of its body are buffered, unless its connection is closed before the body
   * arrives.
   */
  | { readonly forward: false; readonly closeConnection?: boolean };

/** Options of `transfer`. */
export interface TransferOptions {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  readonly path: string;
  readonly method: string;
  readonly headers: string[];
  readonly body: CallerBody;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
  /** Called before the first byte is sent; throwing prevents the request from being sent. */
  readonly onBeforeSend: () => void;
  readonly classifyResponse: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => ResponseClassification;
  /** Receives each chunk that is forwarded to the caller. */
  readonly recordChunk?: ((chunk: Buffer) => void) | undefined;
  /**
   * Called at the start with a function that aborts the transfer; the returned function is called
   * when the transfer ends.
   */
  readonly watchLink?: ((abandon: (reason: Error) => void) => () => void) | undefined;
  /** Called whenever data arrives from the target. */
  readonly onActivity?: (() => void) | undefined;
}

/** Result of a transfer. */
export interface TransferResult {
  readonly kind: 'complete' | 'discarded' | 'not-sent' | 'broken' | 'cut' | 'aborted';
  /** Whether any byte of the request may have been sent. */
  readonly sent: boolean;
  readonly status: number | undefined;
  readonly headers: IncomingHttpHeaders;
  /** Time from the call to the first byte of the response, or to the end if none arrived. */
  readonly milliseconds: number;
  readonly error: Error | undefined;
  /** Whether the target was paused because the caller reads slowly. */
  readonly blockedByCaller: boolean;
  /** Body of a response that was not forwarded. */
  readonly discardedBody: string;
}

const MAXIMUM_DISCARDED_BYTES = 16_384;
const BODILESS_STATUS = new Set([204, 304]);

function flushCorked(response: ServerResponse): void {
  if (!response.destroyed && !response.writableEnded) {
    response.flushHeaders();
  }
  response.uncork();
}

class Transfer implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private readonly startedAt = performance.now();

  private respondedAt: number | undefined;

  private status: number | undefined;

  private headers: IncomingHttpHeaders = {};

  private forwarding = false;

  private receivedBytes = 0;

  private readonly discardedChunks: Buffer[] = [];

  private settled = false;

  private waitingForDrain = false;

  private unwatch: (() => void) | undefined;

  constructor(
    private readonly options: TransferOptions,
    private readonly resolve: (end: TransferResult) => void,
  ) {}

  start(): void {
    const { dispatcher, origin, path, method, headers, body, signal } = this.options;
    if (signal.aborted) {
      this.onAbort();
      return;
    }
    signal.addEventListener('abort', this.onAbort, { once: true });
    this.unwatch = this.options.watchLink?.((reason) => this.fail(reason, 'aborted'));
    try {
      dispatcher.dispatch({ origin, path, method, headers, body: body.open() }, this);
    } catch (error) {
      this.settle('not-sent', error as Error);
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.settled) {
      controller.abort(new FailureError('CallerCancelled'));
      return;
    }
    if (this.controller !== undefined) {
      // undici sends a request again when its connection was replaced, although the target may already
      // have run the first copy.
      const repeated = new FailureError('BackendReset', 'the connection was replaced');
      this.settle('broken', repeated);
      controller.abort(repeated);
      return;
    }
    try {
      this.options.onBeforeSend();
      this.controller = controller;
    } catch (error) {
      this.settle('not-sent', error as Error);
      controller.abort(error as Error);
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.options.onActivity?.();
    if (this.settled || status < 200) {
      return;
    }
    this.respondedAt = performance.now();
    this.status = status;
    this.headers = headers;
    if (!this.isDelimited(status, headers)) {
      this.fail(new FailureError('BackendAnswerMalformed', 'the response has no length'));
      return;
    }
    try {
      this.forwardHead(status, headers);
    } catch (error) {
      const cause = new FailureError('BackendAnswerMalformed', undefined, { cause: error });
      this.fail(error instanceof FailureError ? error : cause);
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.options.onActivity?.();
    if (this.settled) {
      return;
    }
    this.receivedBytes += chunk.length;
    if (!this.forwarding) {
      this.discard(chunk);
      return;
    }
    this.options.recordChunk?.(chunk);
    const { response } = this.options;
    if (response.destroyed) {
      return;
    }
    if (!response.write(chunk) && !this.waitingForDrain) {
      this.waitingForDrain = true;
      controller.pause();
      response.once('drain', this.onDrain);
      response.once('close', this.onDrain);
    }
  }

  onResponseEnd(): void {
    if (this.settled) {
      return;
    }
    if (!this.forwarding) {
      this.settle('discarded');
      return;
    }
    if (!this.isResponseComplete()) {
      this.fail(new FailureError('BackendAnswerCut'));
      return;
    }
    this.settle('complete');
    this.options.response.end();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(error);
  }

  private readonly onAbort = (): void => {
    const reason = this.options.signal.reason as Error;
    this.fail(reason, 'aborted');
  };

  private readonly onDrain = (): void => {
    this.waitingForDrain = false;
    this.options.response.off('drain', this.onDrain).off('close', this.onDrain);
    if (!this.settled) {
      this.controller?.resume();
    }
  };

  private forwardHead(status: number, headers: IncomingHttpHeaders): void {
    const classification = this.options.classifyResponse(status, headers);
    if (!classification.forward) {
      if (classification.closeConnection === true) {
        this.endDiscarded();
      }
      return;
    }
    this.forwarding = true;
    const { response } = this.options;
    if (!response.destroyed) {
      response.writeHead(status, classification.headers);
      // Corking until the next tick sends head and body in one write when they arrive together, without
      // delaying the head when the body arrives later.
      response.cork();
      process.nextTick(flushCorked, response);
    }
  }

  private isDelimited(status: number, headers: IncomingHttpHeaders): boolean {
    // A response delimited by the end of its connection can't be distinguished from a truncated one.
    return (
      this.options.method === 'HEAD' ||
      BODILESS_STATUS.has(status) ||
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined
    );
  }

  private isResponseComplete(): boolean {
    const announced = this.headers['content-length'];
    if (
      announced === undefined ||
      this.options.method === 'HEAD' ||
      BODILESS_STATUS.has(this.status ?? 0)
    ) {
      return true;
    }
    return checkInvariant(
      Number(announced) === this.receivedBytes,
      'AnswerMixedUp',
      () => `received ${this.receivedBytes} bytes of a response with Content-Length ${announced}`,
    );
  }

  private discard(chunk: Buffer): void {
    if (this.receivedBytes <= MAXIMUM_DISCARDED_BYTES) {
      this.discardedChunks.push(chunk);
      return;
    }
    this.endDiscarded();
  }

  private endDiscarded(): void {
    this.settle('discarded');
    this.controller?.abort(new FailureError('CallerCancelled', 'the response is discarded'));
  }

  private fail(error: Error, kind?: 'aborted'): void {
    if (this.settled) {
      return;
    }
    const truncated = this.forwarding && this.options.response.headersSent;
    let failureKind: TransferResult['kind'] = this.controller === undefined ? 'not-sent' : 'broken';
    if (this.status !== undefined) {
      failureKind = 'cut';
    }
    this.settle(kind ?? failureKind, error);
    if (truncated) {
      // Closes the connection early, so that the caller sees the response as truncated.
      this.options.response.destroy();
    }
    // Closes the connection, so that a late response can't be matched to another request.
    this.controller?.abort(error);
  }

  private settle(kind: TransferResult['kind'], error?: Error): void {
    if (this.settled) {
      return;
    }
    this.settled = true;
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.unwatch?.();
    this.resolve({
      kind,
      sent: this.controller !== undefined,
      status: this.status,
      headers: this.headers,
      milliseconds: (this.respondedAt ?? performance.now()) - this.startedAt,
      error,
      blockedByCaller: this.waitingForDrain,
      discardedBody: Buffer.concat(this.discardedChunks).toString(),
    });
  }
}

/** Sends a request to a target and streams the response to the caller. Never rejects. */
export function transfer(options: TransferOptions): Promise<TransferResult> {
  return new Promise((resolve) => {
    new Transfer(options, resolve).start();
  });
}
