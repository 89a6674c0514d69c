/**
 * Forwarding of requests to peer daemons, with streamed bodies and the remaining deadline.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ExecutionPermit, RecordedResponse } from '@dogwoodstall/idempotency';
import { FailureError, findResultName, isFailure } from '@dogwoodstall/results';
import { ANSWERED } from './answer.js';
import { composeAnswerHeaders } from './answer-headers.js';
import { AnswerRecorder } from './answer-recorder.js';
import type { Exchange } from './exchange.js';
import { formatForwardHeaders, type HopKind, MAXIMUM_HOPS } from './forward-headers.js';
import { readHeader } from './headers.js';
import type { PeerTarget } from './link.js';
import type { LinkMonitor } from './link-monitor.js';
import { type Judgement, type TransferEnd, transfer } from './transfer.js';

/** How forwarding ended. */
export interface ForwardEnd {
  /** Undefined after a whole answer. */
  readonly failure: FailureError | undefined;
  /** The failure that the peer stated, as opposed to one of the link. */
  readonly statedByPeer: boolean;
  /** Whether the peer certainly did not run the request. */
  readonly notRun: boolean;
  readonly answer: RecordedResponse | undefined;
}

/** What is forwarded and where. */
export interface ForwardOptions {
  readonly peer: PeerTarget;
  readonly kind: HopKind;
  readonly cell: string;
  /** Given when this daemon is the home of the request's key. */
  readonly permit?: ExecutionPermit | undefined;
}

function readStatedFailure(end: TransferEnd): FailureError {
  const name = findResultName(Number(readHeader(end.headers, 'dogwoodstall-result')));
  if (name === undefined) {
    return new FailureError('DispatcherLost', 'the peer answered without a known result code');
  }
  try {
    const { message } = JSON.parse(end.discardedBody) as { message?: unknown };
    return new FailureError(name, typeof message === 'string' ? message : undefined);
  } catch {
    return new FailureError(name);
  }
}

function describeEnd(end: TransferEnd): Omit<ForwardEnd, 'answer'> {
  if (end.kind === 'complete') {
    return { failure: undefined, statedByPeer: false, notRun: false };
  }
  if (end.kind === 'discarded') {
    const failure = readStatedFailure(end);
    return { failure, statedByPeer: true, notRun: failure.execution === 'not-run' };
  }
  const cause = { cause: end.error };
  if (!end.sent) {
    if (end.kind === 'aborted') {
      const cancelled = isFailure(end.error, 'CallerCancelled');
      const failure = new FailureError(cancelled ? 'CancelledInQueue' : 'DeadlineInQueue');
      return { failure, statedByPeer: false, notRun: true };
    }
    const failure = new FailureError('DispatcherUnreachable', undefined, cause);
    return { failure, statedByPeer: false, notRun: true };
  }
  const known = end.error instanceof FailureError ? end.error : undefined;
  const failure = known ?? new FailureError('DispatcherLost', undefined, cause);
  return { failure, statedByPeer: false, notRun: false };
}

function judge(
  exchange: Exchange,
  recorder: AnswerRecorder | undefined,
  status: number,
  headers: IncomingHttpHeaders,
): Judgement {
  if (readHeader(headers, 'dogwoodstall-result') !== ANSWERED) {
    return { pass: false };
  }
  if (readHeader(headers, 'request-id') !== exchange.facts.requestId) {
    throw new FailureError('BackendAnswerMalformed', 'the answer names another request');
  }
  const passed = composeAnswerHeaders(exchange, headers);
  recorder?.start(status, passed);
  return { pass: true, headers: passed };
}

/** Forwards requests to peers. */
export class PeerForwarder {
  constructor(private readonly monitor: LinkMonitor) {}

  /** Forwards a request. Never rejects. */
  async forward(exchange: Exchange, options: ForwardOptions): Promise<ForwardEnd> {
    if (exchange.facts.hops >= MAXIMUM_HOPS) {
      const failure = new FailureError('ForwardLoop');
      return { failure, statedByPeer: false, notRun: true, answer: undefined };
    }
    const { permit } = options;
    const recorder = permit && new AnswerRecorder(exchange.contract.recordedAnswerBytes);
    const end = await this.send(exchange, options, recorder);
    const described = describeEnd(end);
    if (described.notRun) {
      permit?.proveNotRun();
    }
    const answer = described.failure === undefined ? recorder?.finish() : undefined;
    return { ...described, answer };
  }

  private send(
    exchange: Exchange,
    { peer, kind, cell, permit }: ForwardOptions,
    recorder: AnswerRecorder | undefined,
  ): Promise<TransferEnd> {
    return transfer({
      dispatcher: peer.dispatcher,
      origin: peer.baseUrl,
      path: `/forward${exchange.facts.target}`,
      method: exchange.facts.method,
      headers: formatForwardHeaders(exchange, kind, cell),
      body: exchange.body,
      response: exchange.response,
      signal: exchange.signal,
      watch: (abandon) =>
        this.monitor.watch(peer, () => {
          // A non-idempotent request may run at the silent daemon, so it stays where it is.
          if (exchange.facts.route.idempotent && !exchange.response.headersSent) {
            abandon(new FailureError('DispatcherLost', 'the link to the dispatcher is silent'));
          }
        }),
      begin: () => {
        permit?.begin();
        exchange.markSending();
      },
      judge: (status, headers) => judge(exchange, recorder, status, headers),
      record: recorder?.add,
      heard: this.monitor.heard(peer),
    });
  }
}
