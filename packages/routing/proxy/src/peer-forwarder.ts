/**
 * Forwards requests to peer daemons, with a streamed body and the remaining time to the deadline.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ExecutionPermit, RecordedResponse } from '@dogwoodstall/idempotency';
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

/** Result of forwarding a request. */
export interface ForwardResult {
  /** Undefined after a complete response. */
  readonly failure: FailureError | undefined;
  /** Whether the peer reported the failure, as opposed to a failure of the link. */
  readonly reportedByPeer: boolean;
  /** Whether the request certainly was not run. */
  readonly notRun: boolean;
  readonly recordedResponse: RecordedResponse | undefined;
}

/** Options of `PeerForwarder.forward`. */
export interface ForwardOptions {
  readonly peer: PeerTarget;
  readonly kind: HopKind;
  readonly cell: string;
  /** Set when this daemon is the home of the request's idempotency key. */
  readonly permit?: ExecutionPermit | undefined;
}

function parseReportedFailure(result: TransferResult): FailureError {
  const name = findResultName(Number(readHeader(result.headers, 'dogwoodstall-result')));
  if (name === undefined) {
    return new FailureError('DispatcherLost', 'the response of the peer has no known result code');
  }
  try {
    const { message } = JSON.parse(result.discardedBody) as { message?: unknown };
    return new FailureError(name, typeof message === 'string' ? message : undefined);
  } catch {
    return new FailureError(name);
  }
}

function classifyResult(result: TransferResult): Omit<ForwardResult, 'recordedResponse'> {
  if (result.kind === 'complete') {
    return { failure: undefined, reportedByPeer: false, notRun: false };
  }
  if (result.kind === 'discarded') {
    const failure = parseReportedFailure(result);
    return { failure, reportedByPeer: true, notRun: failure.execution === 'not-run' };
  }
  const cause = { cause: result.error };
  if (!result.sent) {
    if (result.kind === 'aborted') {
      const cancelled = isFailure(result.error, 'CallerCancelled');
      const failure = new FailureError(cancelled ? 'CancelledInQueue' : 'DeadlineInQueue');
      return { failure, reportedByPeer: false, notRun: true };
    }
    const failure = new FailureError('DispatcherUnreachable', undefined, cause);
    return { failure, reportedByPeer: false, notRun: true };
  }
  const known = result.error instanceof FailureError ? result.error : undefined;
  const failure = known ?? new FailureError('DispatcherLost', undefined, cause);
  return { failure, reportedByPeer: false, notRun: false };
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
    throw new FailureError(
      'BackendAnswerMalformed',
      'the response carries the id of another request',
    );
  }
  const responseHeaders = composeResponseHeaders(exchange, headers);
  recorder?.start(status, responseHeaders);
  return { forward: true, headers: responseHeaders };
}

/** Forwards requests to peers. */
export class PeerForwarder {
  constructor(private readonly monitor: LinkMonitor) {}

  /** Forwards a request. Never rejects. */
  async forward(exchange: Exchange, options: ForwardOptions): Promise<ForwardResult> {
    if (exchange.context.hops >= MAXIMUM_HOPS) {
      const failure = new FailureError('ForwardLoop');
      return { failure, reportedByPeer: false, notRun: true, recordedResponse: undefined };
    }
    const { permit } = options;
    const recorder = permit && new ResponseRecorder(exchange.contract.recordedAnswerBytes);
    const result = await this.send(exchange, options, recorder);
    const classified = classifyResult(result);
    if (classified.notRun) {
      permit?.proveNotRun();
    }
    const recordedResponse = classified.failure === undefined ? recorder?.finish() : undefined;
    return { ...classified, recordedResponse };
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
          // A non-idempotent request may still run at the unresponsive daemon, so it must not fail over.
          if (exchange.context.route.idempotent && !exchange.response.headersSent) {
            abandon(new FailureError('DispatcherLost', 'the link to the dispatcher is stalled'));
          }
        }),
      onBeforeSend: () => {
        permit?.begin();
        exchange.markSending();
      },
      classifyResponse: (status, headers) => classifyResponse(exchange, recorder, status, headers),
      recordChunk: recorder?.add,
      onActivity: this.monitor.getActivityListener(peer),
    });
  }
}
