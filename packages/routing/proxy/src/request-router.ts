/**
 * Routes each request from this daemon to the dispatcher of its cell, to the home of its idempotency
 * key, or to a backend server.
 */
import * as idempotency from '@dogwoodstall/idempotency';
import { FailureError, isFailure } from '@dogwoodstall/results';
import { composeResponseHeaders } from './response-headers.js';
import type { DispatchRunner } from './dispatch-runner.js';
import type { Exchange } from './exchange.js';
import { createResendFingerprint } from './fingerprint.js';
import type { PeerTarget } from './link.js';
import { MAXIMUM_HOPS } from './forward-headers.js';
import type { ForwardResult, PeerForwarder } from './peer-forwarder.js';
import type { RetryBudget } from './retry-budget.js';

/** A daemon that can dispatch a cell. */
export type DispatchTarget =
  | { readonly kind: 'local'; readonly cell: string }
  | { readonly kind: 'peer'; readonly cell: string; readonly peer: PeerTarget };

/**
 * The daemons to try, in order: the ranked dispatchers of the cell in this region, this daemon, then
 * the dispatchers of cells in other regions, which serve as a fallback when this region has no usable
 * endpoint.
 */
export type DispatchPlan = readonly DispatchTarget[];

/** Current location of the idempotency records of an incarnation. */
export type KeyLocation =
  | { readonly kind: 'local' }
  | { readonly kind: 'peer'; readonly peer: PeerTarget }
  /** The incarnation is gone and its records were not transferred. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'unreachable' };

/** Options of `RequestRouter`. */
export interface RequestRouterOptions {
  /** Name of this daemon. */
  readonly daemonName: string;
  /** Selects the cell of a request and ranks the daemons that can dispatch it. */
  readonly planDispatch: (service: string, requestId: string) => DispatchPlan;
  /** Whether a peer is neither suspected nor known to be unreachable. */
  readonly isReachable: (peer: string) => boolean;
  /** Reports that a connection to a peer failed or stalled. */
  readonly reportUnreachable?: (peer: string) => void;
  readonly locateKeyHome: (home: string, incarnation: string) => KeyLocation;
  /**
   * Resolves with the daemon to which this daemon transferred the records of an incarnation; waits
   * for a transfer in progress.
   */
  readonly findSuccessor?: (incarnation: string) => Promise<PeerTarget | undefined>;
  readonly keyIssuer: idempotency.KeyIssuer;
  readonly keyHome: idempotency.KeyHome;
  readonly runner: DispatchRunner;
  readonly forwarder: PeerForwarder;
  readonly retryBudget: RetryBudget;
}

type OptionalPermit = idempotency.ExecutionPermit | undefined;
type OptionalResponse = idempotency.RecordedResponse | undefined;

/** Results of a peer after which the request fails over to the next daemon. */
const FAILOVER_RESULTS: ReadonlySet<string> = new Set([
  'NotReady',
  'PeerMessageInvalid',
  'DispatcherUnreachable',
]);

/** Results which prove that a cell has no usable endpoint for a request. */
const NO_ENDPOINT_RESULTS: ReadonlySet<string> = new Set([
  'NoEndpoint',
  'BackendRefused',
  'BackendConnectTimeout',
]);

function canTryOtherCell(exchange: Exchange, failure: FailureError): boolean {
  return (
    NO_ENDPOINT_RESULTS.has(failure.failure.kind) &&
    exchange.uncertainError === undefined &&
    exchange.body.replayable &&
    !exchange.response.headersSent &&
    !exchange.signal.aborted
  );
}

function sendRecordedResponse(exchange: Exchange, recorded: idempotency.RecordedResponse): void {
  const { response } = exchange;
  const headers = composeResponseHeaders(exchange, {});
  for (const [name, value] of recorded.headers) {
    const known = headers[name.toLowerCase()];
    if (name.toLowerCase() === 'set-cookie' && known !== undefined) {
      headers[name] = [...(known as string[]), value];
    } else if (headers[name] === undefined) {
      headers[name] = name.toLowerCase() === 'set-cookie' ? [value] : value;
    }
  }
  Object.assign(exchange.decision, { status: recorded.status });
  if (!response.destroyed) {
    response.writeHead(recorded.status, headers);
    response.end(Buffer.from(recorded.body, 'base64'));
  }
}

/** Routes requests to a dispatcher, a key home or a backend server. */
export class RequestRouter {
  constructor(private readonly options: RequestRouterOptions) {}

  /** Serves a request that a caller sent to this daemon; rejects with the failure to report. */
  async serve(exchange: Exchange): Promise<void> {
    if (exchange.context.route.idempotent) {
      await this.dispatch(exchange, undefined);
      return;
    }
    const key = this.verifyKey(exchange);
    const location = this.options.locateKeyHome(key.home, key.incarnation);
    if (location.kind === 'local') {
      await this.serveAtKeyHome(exchange);
    } else if (location.kind === 'peer') {
      await this.forwardToKeyHome(exchange, location.peer);
    } else {
      throw new FailureError(location.kind === 'lost' ? 'KeyHomeLost' : 'KeyHomeUnreachable');
    }
  }

  /** Serves a request whose key home is this daemon or an incarnation transferred to it. */
  async serveAtKeyHome(exchange: Exchange): Promise<void> {
    const key = this.verifyKey(exchange);
    try {
      await this.runAtKeyHome(exchange, key);
    } catch (error) {
      // A sealed key home executes no more requests; only the successor may execute one for this key.
      const successor = isFailure(error, 'KeyHomeMoving')
        ? await this.waitForSuccessor(exchange, key.incarnation)
        : undefined;
      if (successor === undefined) {
        throw error;
      }
      await this.forwardToKeyHome(exchange, successor);
    }
  }

  private waitForSuccessor(
    { signal }: Exchange,
    incarnation: string,
  ): Promise<PeerTarget | undefined> {
    const { findSuccessor } = this.options;
    if (findSuccessor === undefined || signal.aborted) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve, reject) => {
      const onAbort = (): void => resolve(undefined);
      signal.addEventListener('abort', onAbort, { once: true });
      findSuccessor(incarnation)
        .then(resolve, reject)
        .finally(() => signal.removeEventListener('abort', onAbort));
    });
  }

  private async runAtKeyHome(exchange: Exchange, key: idempotency.KeyContents): Promise<void> {
    const use = {
      key,
      fingerprint: createResendFingerprint(exchange),
      signal: exchange.signal,
    };
    const outcome = await this.options.keyHome.run(use, (permit) => {
      const detachingPermit: idempotency.ExecutionPermit = {
        begin: () => {
          permit.begin();
          // Execution continues after the caller disconnects: a resend gets the recorded response.
          Object.assign(exchange, { detached: true });
        },
        proveNotRun: () => permit.proveNotRun(),
      };
      return this.dispatch(exchange, detachingPermit);
    });
    if (outcome.source === 'record') {
      sendRecordedResponse(exchange, outcome.answer);
    }
  }

  /** Serves a request as the dispatcher of its cell. */
  async serveAsDispatcher(exchange: Exchange, cell: string): Promise<void> {
    await this.dispatchLocally(exchange, cell, undefined);
  }

  private verifyKey(exchange: Exchange): idempotency.KeyContents {
    const { context } = exchange;
    if (context.idempotencyKey === undefined) {
      throw new FailureError('KeyRequired');
    }
    const key = this.options.keyIssuer.verify(context.idempotencyKey);
    idempotency.checkKeyOwner(key, context.organisation, context.service.name);
    return key;
  }

  private dispatchLocally(
    exchange: Exchange,
    cell: string,
    permit: OptionalPermit,
  ): Promise<OptionalResponse> {
    Object.assign(exchange.decision, { dispatcher: this.options.daemonName });
    return this.options.runner.run(exchange, cell, permit);
  }

  private async dispatch(exchange: Exchange, permit: OptionalPermit): Promise<OptionalResponse> {
    const { context } = exchange;
    const exhaustedCells = new Set<string>();
    let lastFailure: FailureError | undefined;
    for (const target of this.options.planDispatch(context.service.name, context.requestId)) {
      if (exhaustedCells.has(target.cell) || !this.isUsable(exchange, target)) {
        continue;
      }
      if (lastFailure === undefined && target.kind === 'peer') {
        this.options.retryBudget.deposit(context.service.name, exchange.contract.retryBudget);
      }
      const result = await this.tryTarget(exchange, target, permit);
      if (result.failure === undefined) {
        return result.recordedResponse;
      }
      lastFailure = exchange.uncertainError ?? result.failure;
      if (result.notRun && canTryOtherCell(exchange, result.failure)) {
        exhaustedCells.add(target.cell);
      } else if (target.kind === 'local' || !this.canFailOver(exchange, result)) {
        throw lastFailure;
      }
    }
    throw lastFailure ?? new FailureError('DispatcherUnreachable');
  }

  private isUsable({ context }: Exchange, target: DispatchTarget): boolean {
    return (
      target.kind === 'local' ||
      (context.hops < MAXIMUM_HOPS && this.options.isReachable(target.peer.name))
    );
  }

  private async tryTarget(
    exchange: Exchange,
    target: DispatchTarget,
    permit: OptionalPermit,
  ): Promise<ForwardResult> {
    if (target.kind === 'local') {
      return this.tryLocally(exchange, target.cell, permit);
    }
    const { cell, peer } = target;
    Object.assign(exchange.decision, { dispatcher: peer.name });
    const result = await this.options.forwarder.forward(exchange, {
      peer,
      kind: 'dispatch',
      cell,
      permit,
    });
    if (result.failure !== undefined) {
      this.recordFailedForward(exchange, peer.name, result);
    }
    return result;
  }

  private async tryLocally(
    exchange: Exchange,
    cell: string,
    permit: OptionalPermit,
  ): Promise<ForwardResult> {
    try {
      const recordedResponse = await this.dispatchLocally(exchange, cell, permit);
      return { failure: undefined, reportedByPeer: false, notRun: false, recordedResponse };
    } catch (error) {
      if (!(error instanceof FailureError)) {
        throw error;
      }
      const notRun = error.execution === 'not-run';
      return { failure: error, reportedByPeer: false, notRun, recordedResponse: undefined };
    }
  }

  private recordFailedForward(exchange: Exchange, peer: string, result: ForwardResult): void {
    if (!result.notRun && exchange.uncertainError === undefined) {
      Object.assign(exchange, { uncertainError: result.failure });
    }
    if (!result.reportedByPeer && !exchange.signal.aborted) {
      this.options.reportUnreachable?.(peer);
    }
  }

  private canFailOver(exchange: Exchange, result: ForwardResult): boolean {
    const { context, response, body, signal } = exchange;
    if (response.headersSent || signal.aborted || !body.replayable) {
      return false;
    }
    if (result.notRun) {
      return !result.reportedByPeer || FAILOVER_RESULTS.has(result.failure?.failure.kind ?? '');
    }
    const lost = !result.reportedByPeer || result.failure?.failure.kind === 'PeerMessageInvalid';
    return context.route.idempotent && lost && this.options.retryBudget.take(context.service.name);
  }

  private async forwardToKeyHome(exchange: Exchange, peer: PeerTarget): Promise<void> {
    Object.assign(exchange.decision, { dispatcher: peer.name });
    const result = await this.options.forwarder.forward(exchange, { peer, kind: 'home', cell: '' });
    if (result.failure === undefined) {
      return;
    }
    if (result.reportedByPeer || exchange.signal.aborted || exchange.response.headersSent) {
      throw result.failure;
    }
    this.options.reportUnreachable?.(peer.name);
    if (result.notRun && result.failure.failure.kind === 'DispatcherUnreachable') {
      throw new FailureError('KeyHomeUnreachable', undefined, { cause: result.failure });
    }
    throw result.notRun
      ? result.failure
      : new FailureError('OutcomeNotKnown', 'the connection to the key home broke', {
          cause: result.failure,
        });
  }
}
