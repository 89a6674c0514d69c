/**
 * HTTP servers for the control addresses of stand-ins: JSON request and response bodies, one handler
 * for each method and path. Also holds HTTP and address helpers that all stand-ins share.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as results from '@dogwoodstall/results';

const MAXIMUM_CONTROL_BODY_BYTES = 8 * 1024 * 1024;

/** Handles one control call; `body` is the parsed JSON body, or undefined when it is empty. */
export type ControlHandler = (body: unknown, query: URLSearchParams) => unknown;

/** Handlers keyed by method and path, for example `GET /calls`. */
export type ControlHandlers = Readonly<Record<string, ControlHandler>>;

/** Returns the IP address and port that a server listens on, for example `127.0.0.1:8080`. */
export function formatBoundAddress(server: net.Server): string {
  const bound = server.address();
  if (bound === null || typeof bound === 'string') {
    throw new results.FailureError('ListenFailed', 'the server is not listening on a TCP address');
  }
  return `${bound.address}:${bound.port}`;
}

/** Splits `IP address:port` into host and port; throws `SettingsInvalid` when the port is missing. */
export function parseAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  if (separator < 1 || !Number.isInteger(port)) {
    throw new results.FailureError(
      'SettingsInvalid',
      `expected "IP address:port", got "${address}"`,
    );
  }
  return { host: address.slice(0, separator), port };
}

/** Starts listening and returns the bound address; throws `ListenFailed` when binding fails. */
export async function listen(server: net.Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    const fail = (cause: Error): void => {
      reject(
        new results.FailureError('ListenFailed', `could not bind ${address}: ${cause.message}`, {
          cause,
        }),
      );
    };
    server.once('error', fail);
    server.listen(port, host, () => {
      server.off('error', fail);
      resolve();
    });
  });
  return formatBoundAddress(server);
}

/** Closes a server and all its open HTTP connections. */
export async function closeServer(server: http.Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a complete request body as text; throws `RequestBodyTooLarge` above `limit` bytes. */
export async function readBody(request: http.IncomingMessage, limit: number): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > limit) {
      throw new results.FailureError('RequestBodyTooLarge');
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON response. */
export function writeJson(response: http.ServerResponse, status: number, value: unknown): void {
  const text = `${JSON.stringify(value)}\n`;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function handleRequest(
  handlers: ControlHandlers,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://control');
  const handler = handlers[`${request.method} ${url.pathname}`];
  if (handler === undefined) {
    writeJson(response, 404, { message: `no control call ${request.method} ${url.pathname}` });
    return;
  }
  try {
    const text = await readBody(request, MAXIMUM_CONTROL_BODY_BYTES);
    const body: unknown = text === '' ? undefined : JSON.parse(text);
    writeJson(response, 200, (await handler(body, url.searchParams)) ?? {});
  } catch (error) {
    writeJson(response, 400, { message: error instanceof Error ? error.message : String(error) });
  }
}

/** HTTP server that dispatches control calls to their handlers. */
export class ControlServer {
  private readonly server: http.Server;

  private boundAddress = '';

  constructor(handlers: ControlHandlers) {
    this.server = http.createServer((request, response) => {
      handleRequest(handlers, request, response).catch(() => response.destroy());
    });
  }

  /** The bound address, for example `127.0.0.1:8080`. */
  get address(): string {
    return this.boundAddress;
  }

  async start(address: string): Promise<void> {
    this.boundAddress = await listen(this.server, address);
  }

  async stop(): Promise<void> {
    await closeServer(this.server);
  }
}
