/**
 * Sends endpoint responses and gateway failures to callers.
 */
import type * as http from 'node:http';
import * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import type { EndpointResponse } from './attempt.js';
import { listNoArrivalsHeaders } from './relay.js';
import type { RequestLifetime } from './request-lifetime.js';
import type { WireProtocol } from './wire-protocol.js';
import type { RequestResult } from './request-execution.js';

/** Retry delay sent to the caller while the daemon is not ready. */
export const NOT_READY_RETRY_MILLISECONDS = 300;
const BODILESS_STATUSES = new Set([204, 304]);

/** A request received from a caller, with the response to write to. */
export interface IncomingRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly requestId: string | undefined;
  readonly arrivedAt: number;
  readonly lifetime: RequestLifetime;
}

/** Whether the connection of a caller takes a response; the HTTP server ends its side as soon as the caller has. */
function canReceive({ request, response }: Pick<IncomingRequest, 'request' | 'response'>): boolean {
  return !response.destroyed && request.socket.writable;
}

/** Sends responses to callers. During a graceful shutdown, each response closes its connection. */
export class CallerResponder {
  constructor(
    private readonly protocol: WireProtocol,
    private readonly isStopping: () => boolean,
  ) {}

  /** Sends the final response or failure; returns its status and result for the log. */
  sendResult(incoming: IncomingRequest, result: RequestResult): { status: number; result: string } {
    if (result.kind === 'answer') {
      this.sendResponse(incoming, result.response);
      return { status: result.response.status, result: 'answered' };
    }
    const { failure } = result.failure;
    this.sendFailure(incoming, failure, result.retryAfter, result.hasArrived);
    return { status: results.findResult(failure.kind).httpStatus, result: failure.kind };
  }

  private sendResponse(
    { response, request, requestId }: IncomingRequest,
    endpointResponse: EndpointResponse,
  ): void {
    if (!canReceive({ request, response })) {
      response.destroy();
      return;
    }
    const { body } = endpointResponse;
    const headers: http.OutgoingHttpHeaders = proxy.selectResponseHeaders(endpointResponse.headers);
    const bodiless = request.method === 'HEAD' || BODILESS_STATUSES.has(endpointResponse.status);
    if (!bodiless) {
      const length = body.reduce((sum, part) => sum + part.length, 0);
      headers['content-length'] = String(length);
    }
    if (requestId !== undefined) {
      headers[this.protocol.requestIdHeader] = requestId;
    }
    this.disableKeepAliveIfStopping(response);
    response.writeHead(endpointResponse.status, headers);
    for (const part of bodiless ? [] : body.slice(0, -1)) {
      response.write(part);
    }
    response.end(bodiless ? undefined : body.at(-1));
  }

  /** Sends a failure that the gateway itself reports; `hasArrived` is whether the request may have reached an endpoint. */
  sendFailure(
    { request, response, requestId }: IncomingRequest,
    failure: results.Failure,
    retryAfter: number | undefined,
    hasArrived: boolean,
  ): void {
    if (!canReceive({ request, response })) {
      response.destroy();
      return;
    }
    this.disableKeepAliveIfStopping(response);
    const { protocol } = this;
    const extraHeaders = hasArrived ? {} : listNoArrivalsHeaders(request.headers);
    const { httpStatus } = results.findResult(failure.kind);
    if (retryAfter !== undefined || httpStatus === 503) {
      const retryMilliseconds = retryAfter ?? NOT_READY_RETRY_MILLISECONDS;
      extraHeaders[protocol.retryAfterHeader] = protocol.formatRetryAfter(retryMilliseconds);
    }
    proxy.sendFailure(response, failure, requestId ?? '', extraHeaders);
  }

  private disableKeepAliveIfStopping(response: http.ServerResponse): void {
    if (this.isStopping() && !response.headersSent) {
      Object.assign(response, { shouldKeepAlive: false });
    }
  }
}
