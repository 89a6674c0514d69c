/**
 * Server and client for the exchange of state (configuration, endpoints and members) between daemons by HTTP. A daemon
 * requests the state of another one when a datagram shows that the other has newer data.
 */
import * as http from 'node:http';
import { promisify } from 'node:util';
import * as zlib from 'node:zlib';
import * as gateway from '@dogwoodstall/gateway';
import { FailureError, callWithTimeout, rejectOnAbort } from '@dogwoodstall/results';
import * as undici from 'undici';
import * as z from 'zod';
import { type State, stateSchema } from './directory.js';
import { limitConnections } from './limit-connections.js';
import { listenHttp } from './listen-http.js';
import { type Member, memberSchema } from './member.js';
import type { SideTaskErrors } from './side-task-errors.js';

const STATE_PATH = '/state';
const REQUEST_TIMEOUT_MILLISECONDS = 700;
const MAXIMUM_REQUEST_BYTES = 1_048_576;
const MAXIMUM_CONNECTIONS = 32;

const compress = promisify(zlib.gzip);
const decompress = promisify(zlib.gunzip);

/** What the requesting daemon already knows. */
export const stateRequestSchema = z.object({
  configurationVersion: z.number(),
  directoryRevision: z.number(),
  /** Absent from older daemons. */
  directoryEra: z.number().int().optional(),
  /** Members that the other daemon may lack; the requesting daemon itself at least. */
  members: z.array(memberSchema),
  /** Digest of the known members; older daemons lack it and get the members in any case. */
  memberDigest: z.string().optional(),
  /** Time for which the other daemon may wait for its own first state. Older daemons send none and ignore it. */
  waitMilliseconds: z.number().nonnegative().optional(),
  /** Whether the other daemon may respond with changes only. Older daemons send none. */
  acceptsChanges: z.boolean().optional(),
});

export type StateRequest = z.infer<typeof stateRequestSchema>;

async function readText(request: http.IncomingMessage): Promise<string> {
  let text = '';
  request.setEncoding('utf8');
  for await (const chunk of request) {
    text += String(chunk);
    if (text.length > MAXIMUM_REQUEST_BYTES) {
      throw new FailureError('PeerMessageInvalid', 'the state request exceeds the size limit');
    }
  }
  return text;
}

/** Serves the state to other daemons. It is compressed, because many may fetch a large configuration over slow links. */
export class StateServer {
  private readonly server: http.Server;

  /** Compressed response bodies of the cached states. */
  private readonly bodies = new WeakMap<State, Promise<Buffer>>();

  /** `burst` connections may arrive at once beyond the usual ones. */
  constructor(
    getState: (request: StateRequest) => Promise<State>,
    errors: SideTaskErrors,
    burst: number,
  ) {
    this.server = http.createServer((request, response) => {
      const serve = async (): Promise<void> => {
        const parsed = stateRequestSchema.safeParse(JSON.parse(await readText(request)));
        if (request.url !== STATE_PATH || !parsed.success) {
          response.writeHead(400).end();
          return;
        }
        const body = await this.encode(await getState(parsed.data));
        response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Encoding': 'gzip' });
        response.end(body);
      };
      serve().catch((error: unknown) => {
        // The other daemon may have ended during its request.
        if (!response.destroyed) {
          errors.record('state-request', error, { host: request.socket.remoteAddress });
          response.statusCode = 400;
          response.end();
        }
      });
    });
    errors.watchServer(this.server, 'state');
    limitConnections(this.server, { maximum: MAXIMUM_CONNECTIONS, burst });
  }

  /** Binds the port; throws `ListenFailed`. */
  async listen(host: string, port: number): Promise<void> {
    await listenHttp(this.server, host, port);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private encode(state: State): Promise<Buffer> {
    let body = this.bodies.get(state);
    if (body === undefined) {
      body = compress(JSON.stringify(state));
      this.bodies.set(state, body);
    }
    return body;
  }
}

const agent = new undici.Agent({ connect: gateway.connectSocket });

async function postRequest(
  address: string,
  request: StateRequest,
  signal: AbortSignal,
): Promise<unknown> {
  const { statusCode, body } = await rejectOnAbort(
    signal,
    undici.request(`http://${address}${STATE_PATH}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(request),
      dispatcher: agent,
      signal,
    }),
  );
  const bytes = await body.arrayBuffer();
  if (statusCode !== 200) {
    throw new Error(`unexpected status ${statusCode}`);
  }
  return JSON.parse((await decompress(bytes)).toString('utf8'));
}

/** Requests the state of a daemon; throws `PeerUnreachable` or `PeerMessageInvalid`. */
export async function requestState(
  address: string,
  request: StateRequest,
  closing: AbortSignal,
): Promise<State> {
  let value: unknown;
  try {
    value = await callWithTimeout(REQUEST_TIMEOUT_MILLISECONDS, closing, (signal) =>
      postRequest(address, request, signal),
    );
  } catch (cause) {
    throw new FailureError('PeerUnreachable', String(cause), { cause });
  }
  const parsed = stateSchema.safeParse(value);
  if (!parsed.success) {
    throw new FailureError('PeerMessageInvalid', 'the response is not a valid state');
  }
  return parsed.data;
}

export type { Member, State };
