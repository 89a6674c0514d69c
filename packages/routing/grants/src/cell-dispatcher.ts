/**
 * The dispatcher of one cell: tracks the state of its endpoints, grants their slots to requests, and queues or refuses
 * the requests that can't be served at once.
 */
import type { Endpoint } from '@dogwoodstall/traffic';
import {
  type Candidate,
  type SelectionRequest,
  chooseCandidate,
  listCandidates,
} from './choice.js';
import { CrashRecords } from './crash-records.js';
import { EndpointState, type Attempt, type AttemptResult } from './endpoint-state.js';
import { ConnectionReuseLimit } from './reuse-limit.js';
import { RetryBudgetTracker, type RetryBudget } from './retry-allowance.js';
import { ServiceTimes } from './service-times.js';
import { SUSPECT_RISK, countSlots, estimateWait, computeLoad } from './slot-count.js';
import type { SlotRequest } from './slot-request.js';
import { type Waiter, WaitingQueue } from './waiting-queue.js';

/** The decision of a dispatcher about a request. */
export type Decision =
  | {
      readonly kind: 'grant';
      readonly grantId: number;
      readonly endpoint: Endpoint;
      readonly hedgeAfter: number;
      /** Maximum idle time of a connection to the endpoint for it to be reused. */
      readonly reuseWithin: number;
      readonly risk: number;
      readonly waited: number;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: 'no-endpoint' | 'overload' | 'retry-budget' | 'crashing' | 'stopping';
      readonly retryAfter: number;
    };

/** Options of `CellDispatcher`. */
export interface CellDispatcherOptions {
  readonly now: () => number;
  /** Returns the current retry budget; it changes when another daemon becomes the dispatcher. */
  readonly retryBudget: () => RetryBudget;
  /** Called with the decision about each request that was not withdrawn. */
  readonly decide: (request: SlotRequest, decision: Decision) => void;
  readonly nextGrantId: () => number;
}

/** Maximum number of queued requests; further ones are refused immediately. */
const MAXIMUM_WAITERS = 400;
/** Maximum wait as a share of the target latency, so that callers learn early that a request was not executed. */
const LONGEST_WAIT_OF_TARGET = 0.5;
/** Maximum wait for an endpoint with a lower risk, as a share of the target latency. */
const RISK_WAIT_OF_TARGET = 0.12;
/** Risk above which a non-idempotent request waits for another endpoint, for a limited time. */
const WAIT_RISK = 0.5;
/** Time without a response after which a request is hedged, as a multiple of the mean service time. */
const HEDGE_MULTIPLE = 2.3;
/** Upper bound of that time, as a share of the target latency. */
const HEDGE_OF_TARGET = 0.55;
/** Retries reserved for hedges and failures; requests probe endpoints only while more than these are left. */
const EXPLORING_RESERVE = 8;
/** Share of failed attempts above which requests are spread over all endpoints. */
const SPREAD_FAILED_SHARE = 0.07;
/** Weight of a new outcome in the moving average of failed attempts. */
const FAILED_SHARE_WEIGHT = 0.04;
/** A grant without a report expires this long after the request's deadline. */
const LOST_REPORT_MILLISECONDS = 300;
const NO_ENDPOINT_RETRY_MILLISECONDS = 250;
/** Time without grants after which the risk of an endpoint is replaced by what another dispatcher reports. */
const ADOPTION_MILLISECONDS = 1000;
const SUSPECT_ADOPTED_RISK = 0.85;
const TRUSTED_ADOPTED_RISK = 0.1;

/** Dispatches the requests of one cell to its endpoints. */
export class CellDispatcher {
  private readonly states = new Map<string, EndpointState>();

  private readonly grants = new Map<number, EndpointState>();

  private readonly allowance: RetryBudgetTracker;

  private readonly crashes = new CrashRecords();

  private readonly times = new ServiceTimes();

  private readonly reuse = new ConnectionReuseLimit();

  private readonly waiting = new WaitingQueue();

  private failedShare = 0;

  constructor(private readonly options: CellDispatcherOptions) {
    this.allowance = new RetryBudgetTracker(options.retryBudget, options.now());
  }

  /** Replaces the endpoints of the cell after a change of the directory. */
  updateEndpoints(endpoints: readonly Endpoint[]): void {
    const now = this.options.now();
    const known = new Set<string>();
    for (const endpoint of endpoints) {
      known.add(endpoint.id);
      const state = this.states.get(endpoint.id);
      if (state === undefined) {
        this.states.set(endpoint.id, new EndpointState(endpoint, now));
      } else {
        state.update(endpoint, now);
      }
    }
    for (const id of this.states.keys()) {
      if (!known.has(id)) {
        this.states.delete(id);
      }
    }
    this.serveWaiters();
  }

  /** Grants, queues or refuses a request. Returns whether it was queued. */
  ask(request: SlotRequest): boolean {
    const now = this.options.now();
    if (!request.repeated && !request.moved) {
      this.allowance.countRequest(now);
    }
    if (this.crashes.isCrashing(request.fingerprint, now)) {
      this.refuse(request, 'crashing', request.target);
      return false;
    }
    if (this.isUnusable()) {
      this.refuse(request, 'no-endpoint', NO_ENDPOINT_RETRY_MILLISECONDS);
      return false;
    }
    if (request.repeated && this.allowance.remaining(now) < 1) {
      this.refuse(request, 'retry-budget', request.target);
      return false;
    }
    const expectedWait = this.estimateWait(request, now);
    if (expectedWait > this.longestWait(request) || this.waiting.size >= MAXIMUM_WAITERS) {
      this.refuse(request, 'overload', expectedWait);
      return false;
    }
    const waiter = { request, arrivedAt: now };
    if (!this.waiting.isAnyAhead(request) && this.tryGrant(waiter, now)) {
      return false;
    }
    this.waiting.add(waiter);
    return true;
  }

  /** Removes a request from the queue. */
  withdraw(key: string): void {
    this.waiting.remove(key);
  }

  /** Refuses all queued requests, so that another dispatcher decides about them. */
  stop(): void {
    for (const { request } of this.waiting.clear()) {
      this.refuse(request, 'stopping', 0);
    }
  }

  /** Applies the report on a granted attempt; returns whether the grant was known. */
  report(grantId: number, end: AttemptResult): boolean {
    const state = this.grants.get(grantId);
    const flight = state?.flights.get(grantId);
    this.grants.delete(grantId);
    if (state === undefined || flight === undefined) {
      return false;
    }
    const now = this.options.now();
    const forgotten =
      end.outcome === 'reset' &&
      end.silent &&
      this.reuse.noteReset(state.endpoint.id, end.rested, now);
    state.end(grantId, forgotten ? { ...end, outcome: 'forgotten' } : end, now);
    this.learn(state, flight, end, now);
    this.serveWaiters();
    return true;
  }

  /** Slots in use plus queued requests, as a share of the slots of usable endpoints. */
  get load(): number {
    return computeLoad(countSlots(this.states.values(), this.options.now()), this.waiting.size);
  }

  /** Whether any request is queued. */
  get hasWaitingRequests(): boolean {
    return this.waiting.size > 0;
  }

  /** Whether a grant exists and its attempt has not ended. */
  hasGrant(grantId: number): boolean {
    return this.grants.has(grantId);
  }

  /** Grants or refuses queued requests and expires grants whose reports were lost. */
  tick(): void {
    const now = this.options.now();
    for (const [grantId, state] of this.grants) {
      const flight = state.flights.get(grantId);
      if (flight === undefined) {
        this.grants.delete(grantId);
      } else if (now > flight.expiresAt) {
        const elapsed = now - flight.startedAt;
        this.report(grantId, { outcome: 'unused', elapsed, load: -1, silent: true, rested: 0 });
      }
    }
    this.serveWaiters();
  }

  /** Lists the ids of endpoints that are unreachable or probably in a gray failure. */
  listSuspects(): string[] {
    const now = this.options.now();
    const suspects: string[] = [];
    for (const [id, state] of this.states) {
      if (state.isPaused(now) || state.risk(now) > SUSPECT_RISK) {
        suspects.push(id);
      }
    }
    return suspects;
  }

  /** Applies the suspects that another dispatcher reported to endpoints that this one has not used recently. */
  importSuspects(suspects: ReadonlySet<string>): void {
    const now = this.options.now();
    for (const [id, state] of this.states) {
      if (now - state.lastGrantAt > ADOPTION_MILLISECONDS) {
        state.adoptRisk(suspects.has(id) ? SUSPECT_ADOPTED_RISK : TRUSTED_ADOPTED_RISK, now);
      }
    }
  }

  private learn(state: EndpointState, flight: Attempt, end: AttemptResult, now: number): void {
    const { id } = state.endpoint;
    if (end.outcome === 'success') {
      this.times.add(flight.route, flight.target, end.elapsed);
      this.crashes.clear(flight.fingerprint);
    } else if (end.outcome === 'reset') {
      this.crashes.add(flight.fingerprint, id, now);
    }
    if (end.outcome !== 'unused') {
      const failed = end.outcome === 'success' ? 0 : 1;
      this.failedShare += (failed - this.failedShare) * FAILED_SHARE_WEIGHT;
    }
  }

  private isUnusable(): boolean {
    for (const { endpoint } of this.states.values()) {
      if (!endpoint.draining) {
        return false;
      }
    }
    return true;
  }

  private longestWait({ target, remaining, route }: SlotRequest): number {
    const service = this.times.expect(route, target);
    return Math.min(target * LONGEST_WAIT_OF_TARGET, remaining - service);
  }

  private estimateWait({ priority, route, target }: SlotRequest, now: number): number {
    return estimateWait(
      countSlots(this.states.values(), now),
      this.waiting.countAhead(priority) + 1,
      this.times.expect(route, target),
    );
  }

  private serveWaiters(): void {
    if (this.waiting.size === 0) {
      return;
    }
    const now = this.options.now();
    this.waiting.retain((waiter) => {
      const { request, arrivedAt } = waiter;
      if (now - arrivedAt > this.longestWait(request)) {
        this.refuse(request, 'overload', this.estimateWait(request, now));
        return false;
      }
      return !this.tryGrant(waiter, now);
    });
  }

  private tryGrant(waiter: Waiter, now: number): boolean {
    const { request, arrivedAt } = waiter;
    const choice: SelectionRequest = {
      ...request,
      mayExplore:
        request.idempotent &&
        !request.repeated &&
        this.allowance.remaining(now) > EXPLORING_RESERVE,
      mustSpread: this.failedShare > SPREAD_FAILED_SHARE && !request.repeated,
    };
    const candidates = listCandidates(this.states.values(), choice, now);
    const chosen = chooseCandidate(candidates, choice, now);
    const waited = now - arrivedAt;
    if (chosen === undefined) {
      return false;
    }
    const mayWait = waited < request.target * RISK_WAIT_OF_TARGET;
    if (!request.idempotent && chosen.risk > WAIT_RISK && mayWait) {
      return false;
    }
    if (request.repeated && !this.allowance.take(now)) {
      return false;
    }
    this.grant(request, chosen, waited, now);
    return true;
  }

  private grant(
    request: SlotRequest,
    { state, risk }: Candidate,
    waited: number,
    now: number,
  ): void {
    const grantId = this.options.nextGrantId();
    const expected = this.times.expect(request.route, request.target);
    state.begin(grantId, {
      entry: request.entry,
      route: request.route,
      target: request.target,
      idempotent: request.idempotent,
      startedAt: now,
      expected,
      expiresAt: now + request.remaining - waited + LOST_REPORT_MILLISECONDS,
      fingerprint: request.fingerprint,
    });
    this.grants.set(grantId, state);
    this.options.decide(request, {
      kind: 'grant',
      grantId,
      endpoint: state.endpoint,
      reuseWithin: this.reuse.at(now),
      hedgeAfter: Math.min(expected * HEDGE_MULTIPLE, request.target * HEDGE_OF_TARGET),
      risk,
      waited,
    });
  }

  private refuse(
    request: SlotRequest,
    reason: Extract<Decision, { kind: 'refuse' }>['reason'],
    retryAfter: number,
  ): void {
    this.options.decide(request, { kind: 'refuse', reason, retryAfter });
  }
}
