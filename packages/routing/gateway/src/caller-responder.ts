/**
 * Sends endpoint responses and gateway failures to callers.
 */
import type * as http from 'node:http';
import * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import type { EndpointResponse } from './attempt.js';
import type { WireProtocol } from './wire-protocol.js';
import type { RequestResult } from './request-execution.js';

/** Retry delay sent to the caller while the daemon is not ready. */
export const NOT_READY_RETRY_MILLISECONDS = 300;
const BODILESS_STATUS = new Set([204, 304]);

/** A request received from a caller, with the response to write to. */
export interface IncomingRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly requestId: string | undefined;
  readonly arrivedAt: number;
}

/** Sends responses to callers. During a graceful shutdown, each response closes its connection. */
export class CallerResponder {
  constructor(
    private readonly protocol: WireProtocol,
    private readonly isStopping: () => boolean,
  ) {}

  /** Sends the final response or failure; returns its status and result for the log. */
  finish(arrival: IncomingRequest, end: RequestResult): { status: number; result: string } {
    if (end.kind === 'answer') {
      this.sendAnswer(arrival, end.answer);
      return { status: end.answer.status, result: 'answered' };
    }
    const { failure } = end.failure;
    this.sendFailure(arrival, failure, end.retryAfter);
    return { status: results.findResult(failure.kind).httpStatus, result: failure.kind };
  }

  private sendAnswer(
    { response, request, requestId }: IncomingRequest,
    answer: EndpointResponse,
  ): void {
    if (response.destroyed) {
      return;
    }
    const headers: http.OutgoingHttpHeaders = proxy.selectAnswerHeaders(answer.headers);
    const bodiless = request.method === 'HEAD' || BODILESS_STATUS.has(answer.status);
    if (!bodiless) {
      headers['content-length'] = String(answer.body.length);
    }
    if (requestId !== undefined) {
      headers[this.protocol.requestIdHeader] = requestId;
    }
    this.prepareClose(response);
    response.writeHead(answer.status, headers);
    response.end(bodiless ? undefined : answer.body);
  }

  /** Sends a failure that the gateway itself reports. */
  sendFailure(
    { response, requestId }: IncomingRequest,
    failure: results.Failure,
    retryAfter: number | undefined,
  ): void {
    this.prepareClose(response);
    const { protocol } = this;
    const extra: Record<string, string> = {};
    const { httpStatus } = results.findResult(failure.kind);
    if (retryAfter !== undefined || httpStatus === 503) {
      const wait = retryAfter ?? NOT_READY_RETRY_MILLISECONDS;
      extra[protocol.retryAfterHeader] = protocol.formatRetryAfter(wait);
    }
    proxy.sendFailure(response, failure, requestId ?? '', extra);
  }

  private prepareClose(response: http.ServerResponse): void {
    if (this.isStopping() && !response.headersSent) {
      Object.assign(response, { shouldKeepAlive: false });
    }
  }
}
