/**
 * Forwarding of requests to peer daemons, with streamed bodies and the remaining deadline.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ExecutionPermit, RecordedAnswer } from '@dogwoodstall/idempotency';
import { FailureError, findResultName, isFailure } from '@dogwoodstall/results';
import { BACKEND_RESPONSE_RESULT } from './failure-response.js';
import { composeResponseHeaders } from './response-headers.js';
import { ResponseRecorder } from './response-recorder.js';
import type { Exchange } from './exchange.js';
import { formatForwardHeaders, type HopKind, MAXIMUM_HOPS } from './forward-headers.js';
import { readHeader } from './headers.js';
import type { PeerTarget } from './link.js';
import type { LinkMonitor } from './link-monitor.js';
import { type ResponseClassification, type TransferResult, transfer } from './transfer.js';

/** How forwarding ended. */
export interface ForwardEnd {
  /** Undefined after a whole answer. */
  readonly failure: FailureError | undefined;
  /** The failure that the peer stated, as opposed to one of the link. */
  readonly statedByPeer: boolean;
  /** Whether the peer certainly did not run the request. */
  readonly notRun: boolean;
  readonly answer: RecordedAnswer | undefined;
}

/** What is forwarded and where. */
export interface ForwardOptions {
  readonly peer: PeerTarget;
  readonly kind: HopKind;
  readonly cell: string;
  /** Given when this daemon is the home of the request's key. */
  readonly permit?: ExecutionPermit | undefined;
}

function parseReportedFailure(result: TransferResult): FailureError {
  const name = findResultName(Number(readHeader(result.headers, 'dogwoodstall-result')));
  if (name === undefined) {
    return new FailureError('DispatcherLost', 'the peer answered without a known result code');
  }
  try {
    const { message } = JSON.parse(result.discardedBody) as { message?: unknown };
    return new FailureError(name, typeof message === 'string' ? message : undefined);
  } catch {
    return new FailureError(name);
  }
}

function classifyResult(result: TransferResult): Omit<ForwardEnd, 'answer'> {
  if (result.kind === 'complete') {
    return { failure: undefined, statedByPeer: false, notRun: false };
  }
  if (result.kind === 'discarded') {
    const failure = parseReportedFailure(result);
    return { failure, statedByPeer: true, notRun: failure.execution === 'not-run' };
  }
  const cause = { cause: result.error };
  if (!result.sent) {
    if (result.kind === 'aborted') {
      const cancelled = isFailure(result.error, 'CallerCancelled');
      const failure = new FailureError(cancelled ? 'CancelledInQueue' : 'DeadlineInQueue');
      return { failure, statedByPeer: false, notRun: true };
    }
    const failure = new FailureError('DispatcherUnreachable', undefined, cause);
    return { failure, statedByPeer: false, notRun: true };
  }
  const known = result.error instanceof FailureError ? result.error : undefined;
  const failure = known ?? new FailureError('DispatcherLost', undefined, cause);
  return { failure, statedByPeer: false, notRun: false };
}

function classifyResponse(
  exchange: Exchange,
  recorder: ResponseRecorder | undefined,
  status: number,
  headers: IncomingHttpHeaders,
): ResponseClassification {
  if (readHeader(headers, 'dogwoodstall-result') !== BACKEND_RESPONSE_RESULT) {
    return { forward: false };
  }
  if (readHeader(headers, 'request-id') !== exchange.context.requestId) {
    throw new FailureError('BackendAnswerMalformed', 'the answer names another request');
  }
  const responseHeaders = composeResponseHeaders(exchange, headers);
  recorder?.start(status, responseHeaders);
  return { forward: true, headers: responseHeaders };
}

/** Forwards requests to peers. */
export class PeerForwarder {
  constructor(private readonly monitor: LinkMonitor) {}

  /** Forwards a request. Never rejects. */
  async forward(exchange: Exchange, options: ForwardOptions): Promise<ForwardEnd> {
    if (exchange.context.hops >= MAXIMUM_HOPS) {
      const failure = new FailureError('ForwardLoop');
      return { failure, statedByPeer: false, notRun: true, answer: undefined };
    }
    const { permit } = options;
    const recorder = permit && new ResponseRecorder(exchange.contract.recordedAnswerBytes);
    const result = await this.send(exchange, options, recorder);
    const classified = classifyResult(result);
    if (classified.notRun) {
      permit?.proveNotRun();
    }
    const answer = classified.failure === undefined ? recorder?.finish() : undefined;
    return { ...classified, answer };
  }

  private send(
    exchange: Exchange,
    { peer, kind, cell, permit }: ForwardOptions,
    recorder: ResponseRecorder | undefined,
  ): Promise<TransferResult> {
    return transfer({
      dispatcher: peer.dispatcher,
      origin: peer.baseUrl,
      path: `/forward${exchange.context.target}`,
      method: exchange.context.method,
      headers: formatForwardHeaders(exchange, kind, cell),
      body: exchange.body,
      response: exchange.response,
      signal: exchange.signal,
      watchLink: (abandon) =>
        this.monitor.watch(peer, () => {
          // A non-idempotent request may run at the silent daemon, so it stays where it is.
          if (exchange.context.route.idempotent && !exchange.response.headersSent) {
            abandon(new FailureError('DispatcherLost', 'the link to the dispatcher is silent'));
          }
        }),
      onBeforeSend: () => {
        permit?.begin();
        exchange.markSending();
      },
      classifyResponse: (status, headers) => classifyResponse(exchange, recorder, status, headers),
      recordChunk: recorder?.add,
      onActivity: this.monitor.heard(peer),
    });
  }
}
