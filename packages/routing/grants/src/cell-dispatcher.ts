/**
 * The dispatcher of one cell: tracks the state of its endpoints, grants their slots to requests, and queues or refuses
 * the requests that can't be served at once.
 */
import type { Endpoint } from '@dogwoodstall/traffic';
import { type AnnouncementChange, CellAnnouncements } from './cell-announcements.js';
import {
  type Candidate,
  type SelectionRequest,
  chooseCandidate,
  listCandidates,
} from './endpoint-selection.js';
import type { CrashRecords } from './crash-records.js';
import { EndpointState, type Attempt, type AttemptResult } from './endpoint-state.js';
import * as endpointReports from './endpoint-reports.js';
import { EntryLossEstimates } from './entry-loss.js';
import { ConnectionReuseLimit } from './connection-reuse-limit.js';
import { FailedShare } from './failed-share.js';
import { ServiceTimes } from './service-times.js';
import { countSlots, computeLoad } from './slot-count.js';
import type { SlotRequest } from './slot-request.js';
import type { Waiter } from './waiting-order.js';
import { WaitingRoom } from './waiting-room.js';

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
      readonly reason: 'no-endpoint' | 'overload' | 'crashing' | 'stopping';
      readonly retryAfter: number;
      /** Whether the organisation used more than its share while not everybody could be served. */
      readonly inExcess: boolean;
    };

/** Options of `CellDispatcher`. */
export interface CellDispatcherOptions {
  readonly now: () => number;
  /** Returns the share of announced limits that this daemon may use; below 1 if another daemon dispatches the cell. */
  readonly limitShare: () => number;
  /** Called with the decision about each request that was not withdrawn. */
  readonly decide: (request: SlotRequest, decision: Decision) => void;
  readonly nextGrantId: () => number;
  /** Records of crashing requests, shared by all cells of the daemon. */
  readonly crashRecords: CrashRecords;
  /** Called when a response shows that an endpoint announces something else than before. */
  readonly onAnnouncement: (change: AnnouncementChange) => void;
}

/** Maximum wait for an endpoint with a lower risk, as a share of the target latency. */
const RISK_WAIT_OF_TARGET = 0.12;
/** Risk above which a non-idempotent request waits for another endpoint, for a limited time. */
const WAIT_RISK = 0.5;
/** Time without a response after which a request is hedged, as a multiple of the mean service time. */
const HEDGE_MULTIPLE = 2.3;
/** Upper bound of that time, as a share of the target latency. */
const HEDGE_OF_TARGET = 0.55;
/** Share of failed attempts above which requests are spread over all endpoints. */
const SPREAD_FAILED_SHARE = 0.07;
/** A grant without a report expires this long after the request's deadline. */
const LOST_REPORT_MILLISECONDS = 300;
const NO_ENDPOINT_RETRY_MILLISECONDS = 250;

/** Dispatches the requests of one cell to its endpoints. */
export class CellDispatcher {
  private readonly states = new Map<string, EndpointState>();

  private readonly grants = new Map<number, EndpointState>();

  private readonly entryLoss = new EntryLossEstimates();

  private readonly serviceTimes = new ServiceTimes();

  private readonly reuseLimit = new ConnectionReuseLimit();

  private readonly room = new WaitingRoom({
    states: this.states,
    serviceTimes: this.serviceTimes,
    tryGrant: (waiter, now) => this.tryGrant(waiter, now),
    refuse: (request, reason, retryAfter, inExcess) =>
      this.refuse(request, reason, retryAfter, inExcess),
    isCrashing: ({ fingerprint }, now) => this.options.crashRecords.shouldRefuse(fingerprint, now),
  });

  /** What the endpoints of the cell announce about themselves. */
  readonly announcements: CellAnnouncements;

  private readonly failedShare = new FailedShare();

  constructor(private readonly options: CellDispatcherOptions) {
    this.announcements = new CellAnnouncements(this.states, options);
  }

  /** Replaces the endpoints of the cell after a change of the directory. */
  updateEndpoints(endpoints: readonly Endpoint[]): void {
    const now = this.options.now();
    const currentIds = new Set<string>();
    for (const endpoint of endpoints) {
      currentIds.add(endpoint.id);
      const state = this.states.get(endpoint.id);
      if (state === undefined) {
        this.states.set(
          endpoint.id,
          new EndpointState(endpoint, now, this.options.limitShare, this.entryLoss),
        );
      } else {
        state.update(endpoint, now);
      }
    }
    for (const id of this.states.keys()) {
      if (!currentIds.has(id)) {
        this.states.delete(id);
      }
    }
    this.room.serve(this.options.now());
  }

  /** Grants, queues or refuses a request. Returns whether it was queued. */
  ask(request: SlotRequest): boolean {
    const now = this.options.now();
    if (this.options.crashRecords.shouldRefuse(request.fingerprint, now)) {
      this.refuse(request, 'crashing', request.target);
      return false;
    }
    if (this.hasNoUsableEndpoint()) {
      this.refuse(request, 'no-endpoint', NO_ENDPOINT_RETRY_MILLISECONDS);
      return false;
    }
    if (request.maximumLoad !== undefined) {
      this.grantAtOnce(request, request.maximumLoad, now);
      return false;
    }
    return this.room.ask(request, now);
  }

  /** Removes a request from the queue. */
  withdraw(key: string): void {
    this.room.remove(key);
  }

  /** Refuses all queued requests, so that another dispatcher decides about them. */
  stop(): void {
    for (const { request } of this.room.clear()) {
      this.refuse(request, 'stopping', 0);
    }
  }

  /** Applies the report on a granted attempt; returns whether the grant was known. */
  report(grantId: number, result: AttemptResult): boolean {
    const state = this.grants.get(grantId);
    const attempt = state?.attemptsInFlight.get(grantId);
    this.endGrant(grantId);
    if (state === undefined || attempt === undefined) {
      return false;
    }
    const now = this.options.now();
    const closedWhileIdle =
      result.outcome === 'reset' &&
      result.silent &&
      this.reuseLimit.recordReset(state.endpoint.id, result.rested, now);
    state.finishAttempt(
      grantId,
      closedWhileIdle ? { ...result, outcome: 'forgotten' } : result,
      now,
    );
    this.recordResult(grantId, attempt, result);
    this.announcements.recordResult(state, attempt, result, now);
    this.room.serve(this.options.now());
    return true;
  }

  /** Slots in use plus queued requests, as a share of the slots of usable endpoints. */
  get load(): number {
    return computeLoad(countSlots(this.states.values(), this.options.now()), this.room.size);
  }

  /** Whether any request is queued. */
  get hasWaitingRequests(): boolean {
    return this.room.size > 0;
  }

  /** Whether no request is queued or in flight. */
  get isIdle(): boolean {
    return this.room.size === 0 && this.grants.size === 0;
  }

  /** Whether a grant exists and its attempt has not ended. */
  hasGrant(grantId: number): boolean {
    return this.grants.has(grantId);
  }

  /** Grants or refuses queued requests and expires grants whose reports were lost. */
  tick(): void {
    const now = this.options.now();
    for (const [grantId, state] of this.grants) {
      const attempt = state.attemptsInFlight.get(grantId);
      if (attempt === undefined) {
        this.endGrant(grantId);
      } else if (now > attempt.expiresAt) {
        const elapsed = now - attempt.startedAt;
        this.report(grantId, {
          outcome: 'unused',
          elapsed,
          load: -1,
          silent: true,
          rested: 0,
          announcement: null,
        });
      }
    }
    this.room.serve(this.options.now());
  }

  /** Lists the ids of endpoints that are unreachable or probably in a gray failure. */
  listSuspects(): string[] {
    return endpointReports.listSuspects(this.states, this.options.now());
  }

  /** Lists the usable endpoints that were granted nothing for some time, while a part of the requests fails. */
  listUnused(): endpointReports.UnusedEndpoint[] {
    const now = this.options.now();
    const isFailing = this.failedShare.at(now) > SPREAD_FAILED_SHARE;
    return isFailing ? endpointReports.listUnused(this.states, now) : [];
  }

  /** Applies the suspects that another dispatcher reported to endpoints that this one has not used recently. */
  importSuspects(suspects: ReadonlySet<string>): void {
    endpointReports.importSuspects(this.states, suspects, this.options.now());
  }

  private endGrant(grantId: number): void {
    this.grants.delete(grantId);
    this.room.endGrant(grantId);
  }

  private recordResult(grantId: number, attempt: Attempt, result: AttemptResult): void {
    if (result.outcome === 'success') {
      this.serviceTimes.add(attempt.route, attempt.target, result.elapsed);
    }
    const failed = result.outcome === 'unused' ? undefined : result.outcome !== 'success';
    this.failedShare.finish(grantId, failed);
  }

  /** Grants a slot that is free while no request waits, or refuses; neither delays the return of refused callers. */
  private grantAtOnce(request: SlotRequest, maximumLoad: number, now: number): void {
    const expected = this.serviceTimes.expect(request.route, request.target);
    const isInTime = request.remaining >= expected;
    const hasRoom = this.room.size === 0 && this.load <= maximumLoad && isInTime;
    if (!hasRoom || !this.tryGrant({ request, arrivedAt: now }, now)) {
      this.refuse(request, 'overload', 0);
    }
  }

  private hasNoUsableEndpoint(): boolean {
    for (const { isDraining } of this.states.values()) {
      if (!isDraining) {
        return false;
      }
    }
    return true;
  }

  private tryGrant(waiter: Waiter, now: number): boolean {
    const { request, arrivedAt } = waiter;
    const selection: SelectionRequest = {
      ...request,
      mayProbe: request.idempotent && !request.repeated && request.mayProbe,
      shouldSpread: !request.repeated && this.failedShare.at(now) > SPREAD_FAILED_SHARE,
    };
    const candidates = listCandidates(this.states.values(), selection, now);
    const chosen = chooseCandidate(candidates, selection, now);
    const waited = now - arrivedAt;
    if (chosen === undefined) {
      this.room.setPassing(waiter, this.room.hasAvailableEndpoint(now));
      return false;
    }
    const mayWait = waited < request.target * RISK_WAIT_OF_TARGET;
    if (!request.idempotent && chosen.risk > WAIT_RISK && mayWait) {
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
    const expected = this.serviceTimes.expect(request.route, request.target);
    const attempt: Attempt = {
      entry: request.entry,
      route: request.route,
      target: request.target,
      idempotent: request.idempotent,
      startedAt: now,
      expected,
      expiresAt: now + request.remaining - waited + LOST_REPORT_MILLISECONDS,
    };
    this.room.startGrant(grantId, request, now);
    state.startAttempt(grantId, attempt);
    this.failedShare.start(grantId, attempt);
    this.grants.set(grantId, state);
    this.options.decide(request, {
      kind: 'grant',
      grantId,
      endpoint: state.endpoint,
      reuseWithin: this.reuseLimit.at(now),
      hedgeAfter: Math.min(expected * HEDGE_MULTIPLE, request.target * HEDGE_OF_TARGET),
      risk,
      waited,
    });
  }

  private refuse(
    request: SlotRequest,
    reason: Extract<Decision, { kind: 'refuse' }>['reason'],
    retryAfter: number,
    inExcess = false,
  ): void {
    this.options.decide(request, { kind: 'refuse', reason, retryAfter, inExcess });
  }
}
