/**
 * One transmission of a request to one target, and the answer on its way back to the caller. Chunks
 * pass without a promise or a timer each; a slow caller pauses the target's connection.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { FailureError, checkInvariant } from '@dogwoodstall/results';
import type { Dispatcher } from 'undici';
import type { CallerBody } from './caller-body.js';

/** What becomes of an answer. */
export type ResponseClassification =
  | { readonly forward: true; readonly headers: OutgoingHttpHeaders }
  /** The answer does not go to the caller; up to 16 KiB of its body are kept. */
  | { readonly forward: false };

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
  /** Called before the first byte may leave; throwing keeps the request back. */
  readonly onBeforeSend: () => void;
  readonly classifyResponse: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => ResponseClassification;
  /** Sees each chunk that goes to the caller. */
  readonly recordChunk?: ((chunk: Buffer) => void) | undefined;
  /**
   * Called at the start with a function that abandons the transmission; the returned function is called
   * at its end.
   */
  readonly watchLink?: ((abandon: (reason: Error) => void) => () => void) | undefined;
  /** Called when anything arrives from the target. */
  readonly onActivity?: (() => void) | undefined;
}

/** How a transmission ended. */
export interface TransferResult {
  readonly kind: 'complete' | 'discarded' | 'not-sent' | 'broken' | 'cut' | 'aborted';
  /** Whether bytes of the request may have left. */
  readonly sent: boolean;
  readonly status: number | undefined;
  readonly headers: IncomingHttpHeaders;
  /** From the call to the first byte of the answer or to the end. */
  readonly milliseconds: number;
  readonly error: Error | undefined;
  /** Whether the target was held back because the caller reads slowly. */
  readonly blockedByCaller: boolean;
  /** Body of a discarded answer. */
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
      // The pool sends a request again when its connection was replaced; the first transmission may
      // have been run.
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
      this.fail(new FailureError('BackendAnswerMalformed', 'the answer has no length'));
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
      return;
    }
    this.forwarding = true;
    const { response } = this.options;
    if (!response.destroyed) {
      response.writeHead(status, classification.headers);
      // Head and body leave in one write when they arrived together; otherwise the head does not wait
      // for the body, which may be slow to come.
      response.cork();
      process.nextTick(flushCorked, response);
    }
  }

  private isDelimited(status: number, headers: IncomingHttpHeaders): boolean {
    // An answer that ends with its connection looks the same when it was cut.
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
      () => `${this.receivedBytes} bytes of ${announced} were about to look complete`,
    );
  }

  private discard(chunk: Buffer): void {
    if (this.receivedBytes <= MAXIMUM_DISCARDED_BYTES) {
      this.discardedChunks.push(chunk);
      return;
    }
    this.settle('discarded');
    this.controller?.abort(new FailureError('CallerCancelled', 'the answer is not wanted'));
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
      // The caller must not take the part for the whole.
      this.options.response.destroy();
    }
    // An abandoned exchange takes its connection with it, so that no later answer can meet it.
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

/** Sends a request to a target and streams the answer to the caller. Never rejects. */
export function transfer(options: TransferOptions): Promise<TransferResult> {
  return new Promise((resolve) => {
    new Transfer(options, resolve).start();
  });
}
