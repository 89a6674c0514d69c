/**
 * A single attempt to send a request to an endpoint. The response is buffered until it is complete, so that a truncated
 * response never appears complete to the caller and an idempotent request can be retried at another endpoint.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { type Announcement, isEmptyAnnouncement } from '@dogwoodstall/traffic';
import type { Dispatcher } from 'undici';
import { BodyBlocks } from './body-blocks.js';
import type { MemoryShare } from './memory-share.js';
import { isDescriptorShortage } from './connection-limits.js';
import type { ConnectionPool } from './connection-pool.js';
import { type RelayState, classifyRelayedResponse, listRelayHeaders } from './relay.js';
import type { AttemptContext, ResponseClassification, WireProtocol } from './wire-protocol.js';
import type { EndpointConnection } from './endpoint-connection.js';

/** Maximum size of a buffered response. */
const MAXIMUM_RESPONSE_BYTES = 33_554_432;

/** A complete response from an endpoint. */
export interface EndpointResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The parts of the body, in order. */
  readonly body: readonly Buffer[];
}

/** The outcome of an attempt. */
export type AttemptOutcome =
  | { readonly kind: 'answer'; readonly response: EndpointResponse }
  /** The endpoint reports that it did not run the request. */
  | { readonly kind: 'shed' }
  /** The daemon to which the request was relayed has sent it to no endpoint. */
  | { readonly kind: 'not-arrived' }
  | { readonly kind: 'misdirected' }
  /** No byte of the request was sent. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** This process had no descriptor for a connection, which says nothing about the endpoint. */
  | { readonly kind: 'no-descriptor' }
  /** The request may have run, but no complete response was received. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** The attempt was aborted; `sent` is whether the request may have run. */
  | { readonly kind: 'abandoned'; readonly sent: boolean };

/** The outcome of an attempt, with measurements of the endpoint. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  /** Milliseconds from sending the request to the outcome. */
  readonly elapsed: number;
  readonly load: number | undefined;
  /** Whether no response headers were received. */
  readonly silent: boolean;
  /** How long the connection had been idle before the attempt; 0 for a new connection. */
  readonly idleMilliseconds: number;
  /** What the endpoint announced; null if nothing or if there was no complete response. */
  readonly announcement: Announcement | null;
  /** Undefined if there was no connection. */
  readonly connection: AttemptConnection | undefined;
}

/** The connection of an attempt, for the log. */
export interface AttemptConnection {
  readonly number: number;
  /** Number of requests that it carried, this one included. */
  readonly requests: number;
}

/** Options of `sendAttempt`. */
export interface AttemptOptions {
  readonly pool: ConnectionPool;
  readonly protocol: WireProtocol;
  /** Memory for responses; that of an answer is held until the caller's request ends. */
  readonly responseMemory: MemoryShare;
  /** Called with each header of an endpoint's response that should announce something and can't be read. */
  readonly onUnreadableAnnouncement: (endpoint: string, header: string) => void;
  readonly address: string;
  /** Connections idle for longer are not reused. */
  readonly maximumIdleMilliseconds: number;
  readonly context: AttemptContext;
  /** Set if the address is that of another daemon. */
  readonly relay?: RelayState | undefined;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly signal: AbortSignal;
}

class Attempt implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private readonly connection: EndpointConnection;

  private readonly idleMilliseconds: number;

  private startedAt = performance.now();

  private status = 0;

  private headers: IncomingHttpHeaders = {};

  private classification: ResponseClassification | undefined;

  private readonly body: BodyBlocks;

  private settled = false;

  constructor(
    private readonly options: AttemptOptions,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    this.body = new BodyBlocks(options.responseMemory);
    const { requestId } = options.context;
    this.connection = options.pool.acquire(
      options.address,
      requestId,
      options.maximumIdleMilliseconds,
    );
    this.idleMilliseconds = this.connection.idleMilliseconds;
  }

  start(): void {
    const { signal, protocol, context, relay, method, target, headers, body } = this.options;
    if (signal.aborted) {
      this.options.pool.release(this.options.address, this.connection);
      this.settle({ kind: 'abandoned', sent: false });
      return;
    }
    signal.addEventListener('abort', this.onAbort, { once: true });
    try {
      this.connection.dispatch(
        context.requestId,
        {
          path: target,
          method,
          headers: [
            ...headers,
            ...protocol.listAttemptHeaders(context),
            ...(relay === undefined ? [] : listRelayHeaders(relay)),
          ],
          body,
          // Otherwise undici does not reuse the connection until the response to an unsafe method has arrived.
          blocking: false,
        },
        this,
      );
    } catch (error) {
      this.fail({ kind: 'refused', reason: String(error) });
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.settled) {
      controller.abort(new Error('attempt was aborted'));
      return;
    }
    if (this.controller !== undefined) {
      // undici resends a request after some connection closes, but the endpoint may already have run the first one.
      this.fail({ kind: 'broken', reason: 'connection was replaced during the request' });
      controller.abort(new Error('connection was replaced during the request'));
      return;
    }
    this.startedAt = performance.now();
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.settled || status < 200) {
      return;
    }
    this.status = status;
    this.headers = headers;
    const { protocol, context, relay } = this.options;
    this.classification =
      relay === undefined
        ? protocol.classifyResponse(status, headers, context)
        : classifyRelayedResponse(protocol, status, headers, context);
    if (this.classification.kind === 'foreign') {
      this.fail({ kind: 'broken', reason: 'response belongs to another request' });
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.settled) {
      return;
    }
    if (this.body.length + chunk.length > MAXIMUM_RESPONSE_BYTES) {
      this.failWhileParsing('response exceeds the maximum buffered size');
    } else if (!this.body.append(chunk)) {
      this.failWhileParsing('responses exceed the memory of the daemon');
    }
  }

  onResponseEnd(): void {
    if (this.settled) {
      return;
    }
    // The last chunk of a complete response arrives before the connection ends.
    const truncated =
      this.connection.endedByEndpoint && this.headers['transfer-encoding'] !== undefined;
    if (this.connection.broken || truncated) {
      this.fail({ kind: 'broken', reason: 'connection closed before the response was complete' });
      return;
    }
    const { classification } = this;
    // Surplus bytes may arrive along with the response; the connection is pooled only after they have been parsed.
    setImmediate(() => this.options.pool.release(this.options.address, this.connection));
    if (classification === undefined || classification.kind === 'foreign') {
      this.fail({ kind: 'broken', reason: 'response has no headers' });
    } else if (classification.kind === 'not-run') {
      this.settle({ kind: 'shed' });
    } else if (classification.kind === 'misdirected' || classification.kind === 'not-arrived') {
      this.settle({ kind: classification.kind });
    } else {
      const body = this.body.list();
      this.settle({
        kind: 'answer',
        response: { status: this.status, headers: this.headers, body },
      });
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.controller === undefined && isDescriptorShortage(error)) {
      this.fail({ kind: 'no-descriptor' });
      return;
    }
    const reason = 'code' in error ? String(error.code) : error.message;
    this.fail({ kind: this.controller === undefined ? 'refused' : 'broken', reason });
  }

  private readonly onAbort = (): void => {
    this.fail({ kind: 'abandoned', sent: this.controller !== undefined });
  };

  private fail(outcome: AttemptOutcome): void {
    if (this.settled) {
      return;
    }
    this.settle(outcome);
    this.close();
  }

  /** An assertion of undici fails if a request is aborted before the rest of the packet is parsed, and the response ends. */
  private failWhileParsing(reason: string): void {
    queueMicrotask(() => this.close());
    this.settle({ kind: 'broken', reason });
  }

  private close(): void {
    this.controller?.abort(new Error('attempt has ended'));
    this.connection.destroy();
  }

  private settle(outcome: AttemptOutcome): void {
    this.settled = true;
    if (outcome.kind !== 'answer') {
      this.body.release();
    }
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.resolve({
      outcome,
      elapsed: performance.now() - this.startedAt,
      load: this.options.protocol.readLoad(this.headers),
      silent: this.status === 0,
      idleMilliseconds: this.idleMilliseconds,
      announcement: this.readAnnouncement(outcome),
      connection: { number: this.connection.number, requests: this.connection.requests },
    });
  }

  // Only a complete response of the addressed endpoint itself can speak for it.
  private readAnnouncement({ kind }: AttemptOutcome): Announcement | null {
    const isOfEndpoint = kind === 'answer' || kind === 'shed';
    if (!isOfEndpoint || this.options.relay !== undefined) {
      return null;
    }
    const { protocol, context, onUnreadableAnnouncement } = this.options;
    for (const header of protocol.listUnreadableAnnouncements(this.status, this.headers)) {
      onUnreadableAnnouncement(context.endpoint, header);
    }
    const announcement = protocol.readAnnouncement(this.status, this.headers);
    return isEmptyAnnouncement(announcement) ? null : announcement;
  }
}

function createUnsentResult(reason: string): AttemptResult {
  return {
    outcome: { kind: 'refused', reason },
    elapsed: 0,
    load: undefined,
    silent: true,
    idleMilliseconds: 0,
    announcement: null,
    connection: undefined,
  };
}

/** Sends a request to an endpoint once. Never rejects; failures are reported as an outcome. */
export function sendAttempt(options: AttemptOptions): Promise<AttemptResult> {
  return new Promise((resolve) => {
    try {
      new Attempt(options, resolve).start();
    } catch (error) {
      // The address is invalid.
      resolve(createUnsentResult(String(error)));
    }
  });
}
