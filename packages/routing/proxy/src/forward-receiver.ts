/**
 * Receives forwarded requests on the peer port.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Configuration } from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import { MAXIMUM_BUFFERED_BODY_BYTES, openCallerBody } from './caller-body.js';
import { createDecision } from './decision.js';
import { Exchange } from './exchange.js';
import type { ExchangeServer } from './exchange-server.js';
import { type ForwardedRequest, parseForwardHeaders, splitHost } from './forward-headers.js';
import { selectRequestHeaders } from './headers.js';
import { HEARTBEAT_PATH } from './link.js';
import type { RequestRouter } from './request-router.js';

const FORWARD_PREFIX = '/forward';

/** Options of `ForwardReceiver`. */
export interface ForwardReceiverOptions {
  readonly server: ExchangeServer;
  readonly router: RequestRouter;
  readonly findConfiguration: () => Configuration | undefined;
}

function readContentLength(request: IncomingMessage): number | undefined {
  const length = request.headers['content-length'];
  if (length !== undefined) {
    return Number(length);
  }
  return request.headers['transfer-encoding'] === undefined ? 0 : undefined;
}

/** Serves forwarded requests. */
export class ForwardReceiver {
  /** Set to reject requests for dispatch; the key home continues to serve. */
  refusing = false;

  constructor(private readonly options: ForwardReceiverOptions) {}

  /** Handles a request under `/forward/`. Never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === HEARTBEAT_PATH) {
      response.writeHead(204).end();
      return;
    }
    const requestId = String(request.headers['request-id'] ?? '');
    await this.options.server.track(response, requestId, async () => {
      const forwarded = parseForwardHeaders(request.headers);
      if (this.refusing && forwarded.kind === 'dispatch') {
        throw new FailureError('NotReady');
      }
      const exchange = await this.openExchange(forwarded, request, response);
      const { router, server } = this.options;
      await server.run(
        exchange,
        (opened) =>
          forwarded.kind === 'home'
            ? router.serveAtKeyHome(opened)
            : router.serveAsDispatcher(opened, forwarded.cell),
        () => ({}),
      );
    });
  }

  private async openExchange(
    forwarded: ForwardedRequest,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Exchange> {
    const deadlineAt = performance.now() + forwarded.remainingMilliseconds;
    const configuration = this.options.findConfiguration();
    const route = configuration?.routes.get(forwarded.routeName);
    const service = route && configuration?.services.get(route.service);
    if (route === undefined || service === undefined) {
      throw new FailureError('NotReady', 'the configuration of this daemon lacks the route');
    }
    const limit = Math.max(MAXIMUM_BUFFERED_BODY_BYTES, route.maximumBodyBytes);
    const body = await openCallerBody(request, readContentLength(request), limit);
    const { requestId, organisation, hops } = forwarded;
    return new Exchange(
      {
        ...forwarded,
        route,
        service,
        method: request.method ?? '',
        target: (request.url ?? '').slice(FORWARD_PREFIX.length),
        headers: [
          ...splitHost(selectRequestHeaders(request.rawHeaders)).others,
          'host',
          forwarded.host,
        ],
        deadlineAt,
      },
      request,
      response,
      body,
      createDecision(requestId, route.name, organisation, hops),
    );
  }
}
