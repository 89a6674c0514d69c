/**
 * The link to one peer: calls with timeouts and limited concurrency, and separate connections for
 * forwarded requests.
 */
import * as tls from 'node:tls';
import { FailureError, findResult, rejectOnAbort, type ResultName } from '@dogwoodstall/results';
import { createTRPCClient, TRPCClientError } from '@trpc/client';
import * as undici from 'undici';
import { createCallLink } from './call-link.js';
import { checkPeerName, MINIMUM_TLS_VERSION, type PeerTls } from './identity.js';
import {
  procedures,
  type ProcedureInput,
  type ProcedureName,
  type ProcedureOutput,
} from './messages.js';
import type { PeerRouter } from './router.js';

const DEFAULT_CALL_MILLISECONDS = 2000;
const CONNECT_MILLISECONDS = 1000;
const KEEP_ALIVE_MILLISECONDS = 60_000;
const CONTROL_CONNECTIONS = 2;
// Unlimited: a heartbeat that waits for a connection would look like a stalled link.
const FORWARD_CONNECTIONS = null;
const MAXIMUM_CONCURRENT_CALLS = 16;

/** The address and name of a peer. */
export interface PeerTarget {
  /** Undefined for a seed whose name is unknown. */
  readonly name?: string | undefined;
  /** `IP address:port`. */
  readonly peerAddress: string;
}

/** Options of one call. */
export interface CallOptions {
  readonly milliseconds?: number;
  readonly signal?: AbortSignal;
}

type CallFunction = (input: unknown, options: { signal: AbortSignal }) => Promise<unknown>;
type Client = Record<ProcedureName, { mutate: CallFunction }>;

function isResultName(name: unknown): name is ResultName {
  return typeof name === 'string' && (findResult(name as ResultName) as unknown) !== undefined;
}

function findFailure(error: unknown): FailureError | undefined {
  let current = error;
  while (current instanceof Error) {
    if (current instanceof FailureError) {
      return current;
    }
    current = current.cause;
  }
  return undefined;
}

function isTlsError(error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  return /^ERR_(TLS|SSL)|CERT|UNABLE_TO_VERIFY/.test(code);
}

function toPeerFailure(error: unknown, target: PeerTarget, timedOut: boolean): FailureError {
  const known = findFailure(error);
  if (known !== undefined) {
    return known;
  }
  const message = error instanceof Error ? error.message : String(error);
  const detail = `${target.name ?? 'a daemon'} at ${target.peerAddress}: ${message}`;
  const data: unknown = error instanceof TRPCClientError ? error.data : undefined;
  const result = (data as { result?: unknown } | undefined)?.result;
  if (isResultName(result)) {
    return new FailureError(result, detail, { cause: error });
  }
  const cause = error instanceof TRPCClientError ? error.cause : error;
  const kind = isTlsError(cause) ? 'PeerUnauthenticated' : 'PeerUnreachable';
  return new FailureError(timedOut ? 'PeerTimeout' : kind, detail, { cause: error });
}

function createPool(
  target: PeerTarget,
  credentials: PeerTls,
  connections: number | null,
): undici.Pool {
  // Created once per pool: parsing the certificate and key takes longer than the rest of the set-up of
  // a connection, and a burst of forwarded requests opens many connections.
  const secureContext = tls.createSecureContext({
    cert: credentials.certificate,
    key: credentials.key,
    ca: [...credentials.authorities],
    minVersion: MINIMUM_TLS_VERSION,
  });
  return new undici.Pool(`https://${target.peerAddress}`, {
    connections,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {
      timeout: CONNECT_MILLISECONDS,
      secureContext,
      checkServerIdentity: (_host, certificate) => checkPeerName(target.name, certificate),
    },
  });
}

function createClient(pool: undici.Pool): Client {
  const client = createTRPCClient<PeerRouter>({ links: [createCallLink(pool)] });
  return client as unknown as Client;
}

/** The link to one peer. */
export class PeerLink {
  readonly target: PeerTarget;

  /** Monotonic time in milliseconds of the last response or request from the peer, if any. */
  lastActivityAt: number | undefined;

  private credentials: PeerTls;

  private controlPool: undici.Pool;

  private client: Client;

  private forwardPool: undici.Pool | undefined;

  private runningCalls = 0;

  private readonly onCall: (name: ProcedureName) => void;

  /** `onCall` receives the procedure name of each call that is sent. */
  constructor(
    target: PeerTarget,
    credentials: PeerTls,
    onCall: (name: ProcedureName) => void = () => {},
  ) {
    this.target = target;
    this.onCall = onCall;
    this.credentials = credentials;
    this.controlPool = createPool(target, credentials, CONTROL_CONNECTIONS);
    this.client = createClient(this.controlPool);
  }

  /** The base URL of forwarded requests. */
  get baseUrl(): string {
    return `https://${this.target.peerAddress}/forward`;
  }

  /** Connections for forwarded requests, separate so that calls never wait behind their bodies. */
  get dispatcher(): undici.Dispatcher {
    this.forwardPool ??= createPool(this.target, this.credentials, FORWARD_CONNECTIONS);
    return this.forwardPool;
  }

  /**
   * Calls a procedure.
   *
   * Throws `PeerUnreachable`, `PeerTimeout`, `PeerUnauthenticated`, `PeerMessageInvalid`, or the
   * failure that the peer responded with.
   */
  async call<Name extends ProcedureName>(
    name: Name,
    input: ProcedureInput<Name>,
    options: CallOptions = {},
  ): Promise<ProcedureOutput<Name>> {
    if (this.runningCalls >= MAXIMUM_CONCURRENT_CALLS) {
      throw new FailureError('PeerUnreachable', `too many calls to ${this.target.peerAddress}`);
    }
    // `AbortSignal.timeout` also fires after calls that have ended, which costs more than clearing a
    // timer.
    const controller = new AbortController();
    let timedOut = false;
    const timer = setTimeout(() => {
      timedOut = true;
      controller.abort();
    }, options.milliseconds ?? DEFAULT_CALL_MILLISECONDS);
    const abort = (): void => controller.abort();
    options.signal?.addEventListener('abort', abort);
    try {
      options.signal?.throwIfAborted();
      this.onCall(name);
      const { signal } = controller;
      const response = await rejectOnAbort(signal, this.send(name, input, signal));
      this.lastActivityAt = performance.now();
      return this.parse(name, response);
    } catch (error) {
      throw toPeerFailure(error, this.target, timedOut);
    } finally {
      clearTimeout(timer);
      options.signal?.removeEventListener('abort', abort);
    }
  }

  /** Replaces the credentials; running calls and requests finish on the old connections. */
  reload(credentials: PeerTls): void {
    const pools = [this.controlPool, this.forwardPool];
    this.credentials = credentials;
    this.controlPool = createPool(this.target, credentials, CONTROL_CONNECTIONS);
    this.client = createClient(this.controlPool);
    this.forwardPool = undefined;
    for (const pool of pools) {
      pool?.close().catch(() => {});
    }
  }

  /** Closes every connection after running calls and requests have ended. */
  async close(): Promise<void> {
    await Promise.all([this.controlPool.close(), this.forwardPool?.close()]);
  }

  /** Closes every connection immediately and aborts running calls and requests. */
  async destroy(): Promise<void> {
    await Promise.all([this.controlPool.destroy(), this.forwardPool?.destroy()]);
  }

  /** Counts a call until it has left the pool: one that was given up may still wait there for a connection. */
  private async send(name: ProcedureName, input: unknown, signal: AbortSignal): Promise<unknown> {
    this.runningCalls += 1;
    try {
      return await this.client[name].mutate(input, { signal });
    } finally {
      this.runningCalls -= 1;
    }
  }

  private parse<Name extends ProcedureName>(name: Name, response: unknown): ProcedureOutput<Name> {
    const parsed = procedures[name].output.safeParse(response);
    if (!parsed.success) {
      const message = `invalid response of ${this.target.peerAddress} to ${name}: ${parsed.error.message}`;
      throw new FailureError('PeerMessageInvalid', message);
    }
    return parsed.data as ProcedureOutput<Name>;
  }
}
