/**
 * The HTTP server of the administration API: authenticates each request, routes it to its handler
 * and writes the result as JSON.
 */
import { once } from 'node:events';
import * as http from 'node:http';
import * as https from 'node:https';
import type * as net from 'node:net';
import * as results from '@dogwoodstall/results';
import { describeError } from './response-error.js';
import { Handlers } from './handlers.js';
import { discardBody, writeJson } from './http.js';
import type { AdministrationOptions } from './options.js';
import { Authenticator } from './principal.js';
import { ApiRouter } from './routing.js';
import { ChangeSubmitter } from './change-submitter.js';

const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_CONNECTIONS = 200;

const serverOptions: http.ServerOptions = {
  headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
  requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
  maxHeaderSize: MAXIMUM_HEADER_BYTES,
};

function parseUrl(text: string): URL {
  try {
    return new URL(`http://administration${text}`);
  } catch (error) {
    const message = 'the request target is not valid';
    throw new results.FailureError('AdministrationRequestInvalid', message, { cause: error });
  }
}

/** Serves the administration API to operators and to administrators of organisations. */
export class AdministrationApi {
  private readonly authenticator: Authenticator;

  private readonly router: ApiRouter;

  private server: http.Server | https.Server | undefined;

  constructor(private readonly options: AdministrationOptions) {
    this.authenticator = new Authenticator(options.operatorTokenDigests);
    this.router = new ApiRouter(new Handlers(options, new ChangeSubmitter(options)));
  }

  /** Starts listening and returns the bound address; throws `ListenFailed` or `KeyFileInvalid`. */
  async listen(): Promise<net.AddressInfo> {
    const { host, port } = this.options;
    const server = await this.createServer();
    server.maxConnections = MAXIMUM_CONNECTIONS;
    this.server = server;
    try {
      server.listen(port, host);
      await once(server, 'listening');
    } catch (error) {
      const message = `the administration address ${host}:${port} could not be bound`;
      throw new results.FailureError('ListenFailed', message, { cause: error });
    }
    return server.address() as net.AddressInfo;
  }

  /**
   * Reads the TLS credentials again and uses them for new connections. When they can not be read or
   * are invalid, throws `KeyFileInvalid` and keeps the previous ones.
   */
  async reloadTls(): Promise<void> {
    if (this.server instanceof https.Server) {
      const credentials = await this.readCredentials();
      try {
        this.server.setSecureContext(credentials);
      } catch (error) {
        const message = 'the administration certificate or key is invalid';
        throw new results.FailureError('KeyFileInvalid', message, { cause: error });
      }
    }
  }

  /** Stops listening and resolves when the last request in progress has completed. */
  async close(): Promise<void> {
    const { server } = this;
    if (server?.listening === true) {
      const closed = once(server, 'close');
      server.close();
      server.closeIdleConnections();
      await closed;
    }
  }

  private async createServer(): Promise<http.Server | https.Server> {
    const listener: http.RequestListener = (request, response) => {
      this.respond(request, response).catch((error: unknown) => {
        this.options.log.error('the response could not be written', { error: String(error) });
        response.destroy();
      });
    };
    if (this.options.readCredentials === undefined) {
      return http.createServer(serverOptions, listener);
    }
    const credentials = await this.readCredentials();
    try {
      return https.createServer({ ...serverOptions, ...credentials }, listener);
    } catch (error) {
      const message = 'the administration certificate or key is invalid';
      throw new results.FailureError('KeyFileInvalid', message, { cause: error });
    }
  }

  private async readCredentials(): Promise<{ cert: string | Buffer; key: string | Buffer }> {
    try {
      const credentials = await this.options.readCredentials?.();
      return { cert: credentials?.certificate ?? '', key: credentials?.key ?? '' };
    } catch (error) {
      const message = 'the administration certificate or key could not be read';
      throw new results.FailureError('KeyFileInvalid', message, { cause: error });
    }
  }

  private async respond(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const method = request.method ?? '';
    const path = request.url?.split('?')[0] ?? '';
    try {
      const body = await this.handle(request, method);
      writeJson(response, 200, body);
      if (method !== 'GET') {
        this.options.log.info('call accepted', { method, path });
      }
    } catch (error) {
      const { status, body } = describeError(error);
      const { code, name } = body.error;
      const logFields = { method, path, result: code, name };
      if (error instanceof results.FailureError) {
        this.options.log.info('call refused', logFields);
      } else {
        this.options.log.error('call failed', { ...logFields, error: String(error) });
      }
      await discardBody(request);
      writeJson(response, status, body);
    }
  }

  private async handle(request: http.IncomingMessage, method: string): Promise<unknown> {
    const principal = this.authenticator.authenticate(
      request.headers.authorization,
      this.options.currentConfiguration(),
    );
    const url = parseUrl(request.url ?? '');
    const { handler, segments } = this.router.find(method, url.pathname);
    return handler({ principal, request, query: url.searchParams, segments });
  }
}
