/**
 * The way of one request from this daemon on: to the dispatcher of its cell, to the home of its key,
 * or to a backend server.
 */
import * as idempotency from '@dogwoodstall/idempotency';
import { FailureError, isFailure } from '@dogwoodstall/results';
import { composeResponseHeaders } from './response-headers.js';
import type { DispatchRunner } from './dispatch-runner.js';
import type { Exchange } from './exchange.js';
import { createResendFingerprint } from './fingerprint.js';
import type { PeerTarget } from './link.js';
import { MAXIMUM_HOPS } from './forward-headers.js';
import type { ForwardEnd, PeerForwarder } from './peer-forwarder.js';
import type { RetryBudget } from './retry-budget.js';

/** A daemon that may dispatch a cell. */
export type DispatchTarget =
  | { readonly kind: 'local'; readonly cell: string }
  | { readonly kind: 'peer'; readonly cell: string; readonly peer: PeerTarget };

/**
 * The daemons to try, in this order: those of the cell in this region by rank, this daemon, and the
 * dispatchers of cells in other regions for the case that this region has no usable endpoint.
 */
export type DispatchPlan = readonly DispatchTarget[];

/** Where the keys of an incarnation live now. */
export type KeyLocation =
  | { readonly kind: 'local' }
  | { readonly kind: 'peer'; readonly peer: PeerTarget }
  /** The incarnation is gone and its records were not handed over. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'unreachable' };

/** Options of `RequestPath`. */
export interface RequestPathOptions {
  /** Name of this daemon. */
  readonly daemonName: string;
  /** Chooses the cell of a request and ranks its daemons. */
  readonly planDispatch: (service: string, requestId: string) => DispatchPlan;
  /** Whether a peer is neither suspected nor known to be unreachable. */
  readonly isReachable: (peer: string) => boolean;
  /** Tells that a peer could not be reached or stalled. */
  readonly reportUnreachable?: (peer: string) => void;
  readonly locateKeyHome: (home: string, incarnation: string) => KeyLocation;
  /**
   * Resolves with the daemon that took over the records of an incarnation in a hand-over from here;
   * waits for a hand-over that runs.
   */
  readonly findSuccessor?: (incarnation: string) => Promise<PeerTarget | undefined>;
  readonly keyIssuer: idempotency.KeyIssuer;
  readonly keyHome: idempotency.KeyHome;
  readonly runner: DispatchRunner;
  readonly forwarder: PeerForwarder;
  readonly retryBudget: RetryBudget;
}

type OptionalPermit = idempotency.ExecutionPermit | undefined;
type OptionalResponse = idempotency.RecordedAnswer | undefined;

/** Results of a peer that mean "ask another daemon". */
const FAILOVER_RESULTS: ReadonlySet<string> = new Set([
  'NotReady',
  'PeerMessageInvalid',
  'DispatcherUnreachable',
]);

/** Results that prove that a cell has no endpoint for a request. */
const NO_ENDPOINT_RESULTS: ReadonlySet<string> = new Set([
  'NoEndpoint',
  'BackendRefused',
  'BackendConnectTimeout',
]);

function canTryOtherCell(exchange: Exchange, failure: FailureError): boolean {
  return (
    NO_ENDPOINT_RESULTS.has(failure.failure.kind) &&
    exchange.uncertainFailure === undefined &&
    exchange.body.replayable &&
    !exchange.response.headersSent &&
    !exchange.signal.aborted
  );
}

function sendRecordedResponse(exchange: Exchange, answer: idempotency.RecordedAnswer): void {
  const { response } = exchange;
  const headers = composeResponseHeaders(exchange, {});
  for (const [name, value] of answer.headers) {
    const known = headers[name.toLowerCase()];
    if (name.toLowerCase() === 'set-cookie' && known !== undefined) {
      headers[name] = [...(known as string[]), value];
    } else if (headers[name] === undefined) {
      headers[name] = name.toLowerCase() === 'set-cookie' ? [value] : value;
    }
  }
  Object.assign(exchange.decision, { status: answer.status });
  if (!response.destroyed) {
    response.writeHead(answer.status, headers);
    response.end(Buffer.from(answer.body, 'base64'));
  }
}

/** Carries requests on. */
export class RequestPath {
  constructor(private readonly options: RequestPathOptions) {}

  /** Serves a request of this daemon's own caller; rejects with the failure to tell. */
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

  /** Serves a request whose key names this daemon or an incarnation that was handed over to it. */
  async serveAtKeyHome(exchange: Exchange): Promise<void> {
    const key = this.verifyKey(exchange);
    try {
      await this.runAtKeyHome(exchange, key);
    } catch (error) {
      // The sealed home runs nothing more, so that the successor alone decides about the key.
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
    const answer = await this.options.keyHome.run(use, (permit) => {
      const detachingPermit: idempotency.ExecutionPermit = {
        begin: () => {
          permit.begin();
          // The outcome is wanted although the caller goes: his resend gets the recorded answer.
          Object.assign(exchange, { detached: true });
        },
        proveNotRun: () => permit.proveNotRun(),
      };
      return this.dispatch(exchange, detachingPermit);
    });
    if (answer.source === 'record') {
      sendRecordedResponse(exchange, answer.answer);
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
        return result.answer;
      }
      lastFailure = exchange.uncertainFailure ?? result.failure;
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
  ): Promise<ForwardEnd> {
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
  ): Promise<ForwardEnd> {
    try {
      const answer = await this.dispatchLocally(exchange, cell, permit);
      return { failure: undefined, statedByPeer: false, notRun: false, answer };
    } catch (error) {
      if (!(error instanceof FailureError)) {
        throw error;
      }
      const notRun = error.execution === 'not-run';
      return { failure: error, statedByPeer: false, notRun, answer: undefined };
    }
  }

  private recordFailedForward(exchange: Exchange, peer: string, result: ForwardEnd): void {
    if (!result.notRun && exchange.uncertainFailure === undefined) {
      Object.assign(exchange, { uncertainFailure: result.failure });
    }
    if (!result.statedByPeer && !exchange.signal.aborted) {
      this.options.reportUnreachable?.(peer);
    }
  }

  private canFailOver(exchange: Exchange, result: ForwardEnd): boolean {
    const { context, response, body, signal } = exchange;
    if (response.headersSent || signal.aborted || !body.replayable) {
      return false;
    }
    if (result.notRun) {
      return !result.statedByPeer || FAILOVER_RESULTS.has(result.failure?.failure.kind ?? '');
    }
    const lost = !result.statedByPeer || result.failure?.failure.kind === 'PeerMessageInvalid';
    return context.route.idempotent && lost && this.options.retryBudget.take(context.service.name);
  }

  private async forwardToKeyHome(exchange: Exchange, peer: PeerTarget): Promise<void> {
    Object.assign(exchange.decision, { dispatcher: peer.name });
    const result = await this.options.forwarder.forward(exchange, { peer, kind: 'home', cell: '' });
    if (result.failure === undefined) {
      return;
    }
    if (result.statedByPeer || exchange.signal.aborted || exchange.response.headersSent) {
      throw result.failure;
    }
    this.options.reportUnreachable?.(peer.name);
    if (result.notRun && result.failure.failure.kind === 'DispatcherUnreachable') {
      throw new FailureError('KeyHomeUnreachable', undefined, { cause: result.failure });
    }
    throw result.notRun
      ? result.failure
      : new FailureError('OutcomeNotKnown', 'the link to the home broke', {
          cause: result.failure,
        });
  }
}
