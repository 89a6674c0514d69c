/**
 * The way of one request from this daemon on: to the dispatcher of its cell, to the home of its key,
 * or to a backend server.
 */
import * as idempotency from '@dogwoodstall/idempotency';
import { FailureError, isFailure } from '@dogwoodstall/results';
import { composeAnswerHeaders } from './answer-headers.js';
import type { DispatchRunner } from './dispatch-runner.js';
import type { Exchange } from './exchange.js';
import { fingerprintRequest } from './fingerprint.js';
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

type Permit = idempotency.ExecutionPermit | undefined;
type Answer = idempotency.RecordedResponse | undefined;

/** Results of a peer that mean "ask another daemon". */
const MOVED_RESULTS: ReadonlySet<string> = new Set([
  'NotReady',
  'PeerMessageInvalid',
  'DispatcherUnreachable',
]);

/** Results that prove that a cell has no endpoint for a request. */
const EXHAUSTED_RESULTS: ReadonlySet<string> = new Set([
  'NoEndpoint',
  'BackendRefused',
  'BackendConnectTimeout',
]);

function mayTryOtherCell(exchange: Exchange, failure: FailureError): boolean {
  return (
    EXHAUSTED_RESULTS.has(failure.failure.kind) &&
    exchange.unproved === undefined &&
    exchange.body.replayable &&
    !exchange.response.headersSent &&
    !exchange.signal.aborted
  );
}

function sendRecorded(exchange: Exchange, answer: idempotency.RecordedResponse): void {
  const { response } = exchange;
  const headers = composeAnswerHeaders(exchange, {});
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
    if (exchange.facts.route.idempotent) {
      await this.dispatch(exchange, undefined);
      return;
    }
    const key = this.verifyKey(exchange);
    const location = this.options.locateKeyHome(key.home, key.incarnation);
    if (location.kind === 'local') {
      await this.serveAtHome(exchange);
    } else if (location.kind === 'peer') {
      await this.forwardHome(exchange, location.peer);
    } else {
      throw new FailureError(location.kind === 'lost' ? 'KeyHomeLost' : 'KeyHomeUnreachable');
    }
  }

  /** Serves a request whose key names this daemon or an incarnation that was handed over to it. */
  async serveAtHome(exchange: Exchange): Promise<void> {
    const key = this.verifyKey(exchange);
    try {
      await this.runAtHome(exchange, key);
    } catch (error) {
      // The sealed home runs nothing more, so that the successor alone decides about the key.
      const successor = isFailure(error, 'KeyHomeMoving')
        ? await this.waitForSuccessor(exchange, key.incarnation)
        : undefined;
      if (successor === undefined) {
        throw error;
      }
      await this.forwardHome(exchange, successor);
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
      const stop = (): void => resolve(undefined);
      signal.addEventListener('abort', stop, { once: true });
      findSuccessor(incarnation)
        .then(resolve, reject)
        .finally(() => signal.removeEventListener('abort', stop));
    });
  }

  private async runAtHome(exchange: Exchange, key: idempotency.KeyContents): Promise<void> {
    const use = {
      key,
      fingerprint: fingerprintRequest(exchange),
      signal: exchange.signal,
    };
    const answer = await this.options.keyHome.run(use, (permit) => {
      const detaching: idempotency.ExecutionPermit = {
        begin: () => {
          permit.begin();
          // The outcome is wanted although the caller goes: his resend gets the recorded answer.
          Object.assign(exchange, { detached: true });
        },
        proveNotRun: () => permit.proveNotRun(),
      };
      return this.dispatch(exchange, detaching);
    });
    if (answer.source === 'record') {
      sendRecorded(exchange, answer.answer);
    }
  }

  /** Serves a request as the dispatcher of its cell. */
  async serveAsDispatcher(exchange: Exchange, cell: string): Promise<void> {
    await this.dispatchHere(exchange, cell, undefined);
  }

  private verifyKey(exchange: Exchange): idempotency.KeyContents {
    const { facts } = exchange;
    if (facts.idempotencyKey === undefined) {
      throw new FailureError('KeyRequired');
    }
    const key = this.options.keyIssuer.verify(facts.idempotencyKey);
    idempotency.checkKeyOwner(key, facts.organisation, facts.service.name);
    return key;
  }

  private dispatchHere(exchange: Exchange, cell: string, permit: Permit): Promise<Answer> {
    Object.assign(exchange.decision, { dispatcher: this.options.daemonName });
    return this.options.runner.run(exchange, cell, permit);
  }

  private async dispatch(exchange: Exchange, permit: Permit): Promise<Answer> {
    const { facts } = exchange;
    const exhausted = new Set<string>();
    let last: FailureError | undefined;
    for (const target of this.options.planDispatch(facts.service.name, facts.requestId)) {
      if (exhausted.has(target.cell) || !this.mayUse(exchange, target)) {
        continue;
      }
      if (last === undefined && target.kind === 'peer') {
        this.options.retryBudget.deposit(facts.service.name, exchange.contract.retryBudget);
      }
      const end = await this.tryTarget(exchange, target, permit);
      if (end.failure === undefined) {
        return end.answer;
      }
      last = exchange.unproved ?? end.failure;
      if (end.notRun && mayTryOtherCell(exchange, end.failure)) {
        exhausted.add(target.cell);
      } else if (target.kind === 'local' || !this.mayMove(exchange, end)) {
        throw last;
      }
    }
    throw last ?? new FailureError('DispatcherUnreachable');
  }

  private mayUse({ facts }: Exchange, target: DispatchTarget): boolean {
    return (
      target.kind === 'local' ||
      (facts.hops < MAXIMUM_HOPS && this.options.isReachable(target.peer.name))
    );
  }

  private async tryTarget(
    exchange: Exchange,
    target: DispatchTarget,
    permit: Permit,
  ): Promise<ForwardEnd> {
    if (target.kind === 'local') {
      return this.tryHere(exchange, target.cell, permit);
    }
    const { cell, peer } = target;
    Object.assign(exchange.decision, { dispatcher: peer.name });
    const end = await this.options.forwarder.forward(exchange, {
      peer,
      kind: 'dispatch',
      cell,
      permit,
    });
    if (end.failure !== undefined) {
      this.noteFailedForward(exchange, peer.name, end);
    }
    return end;
  }

  private async tryHere(exchange: Exchange, cell: string, permit: Permit): Promise<ForwardEnd> {
    try {
      const answer = await this.dispatchHere(exchange, cell, permit);
      return { failure: undefined, statedByPeer: false, notRun: false, answer };
    } catch (error) {
      if (!(error instanceof FailureError)) {
        throw error;
      }
      const notRun = error.execution === 'not-run';
      return { failure: error, statedByPeer: false, notRun, answer: undefined };
    }
  }

  private noteFailedForward(exchange: Exchange, peer: string, end: ForwardEnd): void {
    if (!end.notRun && exchange.unproved === undefined) {
      Object.assign(exchange, { unproved: end.failure });
    }
    if (!end.statedByPeer && !exchange.signal.aborted) {
      this.options.reportUnreachable?.(peer);
    }
  }

  private mayMove(exchange: Exchange, end: ForwardEnd): boolean {
    const { facts, response, body, signal } = exchange;
    if (response.headersSent || signal.aborted || !body.replayable) {
      return false;
    }
    if (end.notRun) {
      return !end.statedByPeer || MOVED_RESULTS.has(end.failure?.failure.kind ?? '');
    }
    const lost = !end.statedByPeer || end.failure?.failure.kind === 'PeerMessageInvalid';
    return facts.route.idempotent && lost && this.options.retryBudget.take(facts.service.name);
  }

  private async forwardHome(exchange: Exchange, peer: PeerTarget): Promise<void> {
    Object.assign(exchange.decision, { dispatcher: peer.name });
    const end = await this.options.forwarder.forward(exchange, { peer, kind: 'home', cell: '' });
    if (end.failure === undefined) {
      return;
    }
    if (end.statedByPeer || exchange.signal.aborted || exchange.response.headersSent) {
      throw end.failure;
    }
    this.options.reportUnreachable?.(peer.name);
    if (end.notRun && end.failure.failure.kind === 'DispatcherUnreachable') {
      throw new FailureError('KeyHomeUnreachable', undefined, { cause: end.failure });
    }
    throw end.notRun
      ? end.failure
      : new FailureError('OutcomeNotKnown', 'the link to the home broke', { cause: end.failure });
  }
}
