/**
 * The dispatcher of one cell: queue, slots and the health evidence of its endpoints.
 */
import * as health from '@dogwoodstall/health';
import type { BackendServer, Contract } from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { Admission, type Expectation } from './admission.js';
import type { RefusalResult } from './decision.js';
import { DecisionLog } from './decision-log.js';
import { EndpointPool } from './endpoint-pool.js';
import type { EndpointSlots } from './endpoint-slots.js';
import { createGrant } from './slot-grant.js';
import { LongShare } from './long-request-limiter.js';
import { type CellDispatcherOptions, scheduleTimer } from './options.js';
import { OrganisationLimits } from './organisation-limiter.js';
import type { DispatchRequest, SlotGrant } from './request.js';
import { ServiceTimes } from './service-times.js';
import { type CellSnapshot, describeEndpoints } from './snapshot.js';
import { Ticker } from './ticker.js';
import { createWaiter, listenForAbort, type Waiter } from './waiter.js';
import { WaitingRoom } from './cell-queue.js';

/** Parked requests that are looked at for each free slot. */
const PARKED_SEARCH_LIMIT = 32;

/** Grants slots of the endpoints of one cell. */
export class CellDispatcher {
  /** Evidence and ejections; `changes` is its stream. */
  readonly health: health.CellHealth;

  private readonly options: CellDispatcherOptions;

  private readonly pool: EndpointPool;

  private readonly room: WaitingRoom;

  private readonly times = new ServiceTimes();

  private readonly limits: OrganisationLimits;

  private readonly admission: Admission;

  private readonly longShare: LongShare;

  private readonly log: DecisionLog;

  private contract: Contract;

  private readonly ticker: Ticker;

  private inFlight = 0;

  private usedAt: number;

  constructor(options: CellDispatcherOptions) {
    const { servers, contract, now, random, logHealth } = options;
    this.options = options;
    this.contract = contract;
    this.ticker = new Ticker(options.schedule ?? scheduleTimer, () => {
      this.health.evaluate();
      this.pump();
    });
    this.usedAt = now();
    const logDecision = logHealth ?? ((): void => {});
    this.health = new health.CellHealth({ servers, contract, now, random, logDecision });
    this.pool = new EndpointPool(servers, this.health);
    this.room = new WaitingRoom(options.findWeight ?? (() => 1));
    this.limits = new OrganisationLimits(contract);
    this.admission = new Admission(this.times, this.room, now());
    this.longShare = new LongShare(contract.longSlotShare);
    this.log = new DecisionLog({
      cellName: options.cellName,
      now,
      countWaiting: () => this.room.size,
      write: options.logDecision,
    });
  }

  /**
   * Waits for a slot.
   *
   * Rejects with a `FailureError` of one of the kinds of `RefusalResult`; the request was not run.
   */
  acquire(request: DispatchRequest): Promise<SlotGrant> {
    return new Promise((resolve, reject) => {
      this.enter(request, resolve, reject);
    });
  }

  /** Follows the configuration. */
  updateEndpoints(servers: readonly BackendServer[], contract = this.contract): void {
    this.contract = contract;
    this.limits.updateContract(contract);
    this.longShare.share = contract.longSlotShare;
    this.health.updateEndpoints(servers, contract);
    this.pool.update(servers);
    this.refuseStranded();
    this.pump();
  }

  /** Stops new work at an endpoint at once. */
  markDraining(endpointName: string): void {
    this.pool.markDraining(endpointName);
    this.refuseStranded();
  }

  /** Gives an endpoint work again after the drain that it announced has ended. */
  clearDraining(endpointName: string): void {
    this.pool.clearDraining(endpointName);
    this.pump();
  }

  /** Returns whether nothing waits or runs, and since when. */
  idleSince(): number | undefined {
    return this.inFlight === 0 && this.room.size === 0 ? this.usedAt : undefined;
  }

  /** Refuses what waits and stops the timer; the cell moved or is idle. */
  close(): void {
    this.refuseExpired(Infinity, 'NoEndpoint');
    this.ticker.cancel();
  }

  /** Describes endpoints and queues. */
  snapshot(): CellSnapshot {
    return {
      name: this.options.cellName,
      endpoints: describeEndpoints(this.pool, this.health.snapshot(), this.options.now()),
      waitingShort: this.room.count('short'),
      waitingLong: this.room.count('long'),
      grants: this.log.grants,
      refusals: this.log.refusals,
      meanShortMilliseconds: this.times.mean('short'),
      meanLongMilliseconds: this.times.mean('long'),
    };
  }

  private enter(
    request: DispatchRequest,
    resolve: (grant: SlotGrant) => void,
    reject: (error: Error) => void,
  ): void {
    const now = this.options.now();
    this.usedAt = now;
    this.health.evaluate();
    this.longShare.noteArrival(request.sizeClass, now);
    const capacity = this.pool.measure(now);
    const longLimit = this.longShare.limit(capacity.slots, now);
    const expectation = this.admission.judge(request, capacity, longLimit, now);
    const refusal = this.findRefusal(request, expectation, now);
    if (refusal !== undefined) {
      this.log.addRefusal(request, refusal, 0, expectation.waitMilliseconds);
      reject(new results.FailureError(refusal));
      return;
    }
    const waiter = createWaiter({ request, expectation, now, resolve, reject });
    listenForAbort(waiter, () => this.refuseWaiter(waiter, 'CancelledInQueue'));
    this.room.push(waiter);
    this.pump();
  }

  private findRefusal(
    request: DispatchRequest,
    expectation: Expectation,
    now: number,
  ): RefusalResult | undefined {
    const { fingerprint, organisation, signal } = request;
    if (signal.aborted) {
      return 'CancelledInQueue';
    }
    if (fingerprint && this.options.crashGuard?.isCrashing(fingerprint) === true) {
      return 'CrashingRequest';
    }
    if (!this.pool.hasCandidate(request.excludedEndpoints)) {
      return 'NoEndpoint';
    }
    if (!expectation.admitted) {
      return 'DeadlineUnreachable';
    }
    const exceeded = this.limits.enter(organisation, now);
    if (exceeded !== undefined) {
      return exceeded;
    }
    if (!this.makePlace(request, now)) {
      this.limits.leave(organisation);
      return 'QueueFull';
    }
    return undefined;
  }

  // A request that finds a free slot needs no place in the queue.
  private makePlace(request: DispatchRequest, now: number): boolean {
    const { priority, sizeClass, organisation } = request;
    if (this.room.size < this.contract.queueLimit) {
      return true;
    }
    if (this.room.size === 0 && this.pool.hasRoom(now)) {
      return true;
    }
    const displaced = this.room.findDisplaceable(priority, sizeClass, organisation);
    if (displaced === undefined) {
      return false;
    }
    const result = displaced.request.priority > priority ? 'ShedByPriority' : 'QueueFull';
    this.refuseWaiter(displaced, result);
    return true;
  }

  // Gives free slots to waiting requests, as long as there are both.
  private pump(): void {
    const now = this.options.now();
    this.refuseExpired(now, 'DeadlineInQueue');
    this.serveParked(now);
    while (this.pool.hasRoom(now)) {
      const waiter = this.nextWaiter(now);
      if (waiter === undefined) {
        break;
      }
      const endpoint = this.pool.choose(waiter.request, now);
      if (endpoint === undefined) {
        this.room.park(waiter);
      } else {
        this.room.take(waiter);
        this.grant(waiter, endpoint, now);
      }
    }
    if (this.room.size === 0) {
      this.admission.noteEmpty(now);
    }
    this.armTick(now);
  }

  private serveParked(now: number): void {
    let searched = 0;
    for (const waiter of this.room.parked) {
      searched += 1;
      const endpoint = this.pool.choose(waiter.request, now);
      if (endpoint !== undefined && this.mayStart(waiter, now)) {
        this.room.take(waiter);
        this.grant(waiter, endpoint, now);
      }
      if (searched >= PARKED_SEARCH_LIMIT) {
        return;
      }
    }
  }

  private mayStart(waiter: Waiter, now: number): boolean {
    const capacity = this.pool.measure(now);
    return waiter.request.sizeClass === 'short' || this.longShare.allows(capacity, now);
  }

  private nextWaiter(now: number): Waiter | undefined {
    if (this.room.count('long') === 0) {
      return this.room.peek(false);
    }
    const capacity = this.pool.measure(now);
    if (this.longShare.isGuaranteed(capacity)) {
      return this.room.peekLong();
    }
    return this.room.peek(this.longShare.allows(capacity, now));
  }

  private grant(waiter: Waiter, endpoint: EndpointSlots, now: number): void {
    const { request } = waiter;
    const long = request.sizeClass === 'long';
    waiter.stopListening();
    const { name, slots } = endpoint.server;
    results.checkInvariant(
      !endpoint.draining,
      'WorkAfterDrain',
      () => `${name} drains and was about to receive request ${request.requestId}`,
    );
    endpoint.occupy(now, long);
    results.checkInvariant(
      endpoint.inFlight <= slots,
      'SlotsOverrun',
      () => `${endpoint.inFlight} requests were granted at ${name}, which has ${slots} slots`,
    );
    this.inFlight += 1;
    this.log.addGrant(waiter, endpoint);
    const grant = createGrant({
      waiter,
      server: endpoint.server,
      grantedAt: now,
      health: this.health,
      crashGuard: this.options.crashGuard,
      onRelease: (outcome) => this.release(request, endpoint, outcome, now),
    });
    waiter.resolve(grant);
  }

  private release(
    request: DispatchRequest,
    endpoint: EndpointSlots,
    outcome: health.AttemptOutcome,
    grantedAt: number,
  ): void {
    const now = this.options.now();
    this.usedAt = now;
    this.inFlight -= 1;
    this.limits.leave(request.organisation);
    if (outcome.kind === 'success') {
      this.times.add(request.sizeClass, now - grantedAt);
      if (request.sizeClass === 'short') {
        endpoint.learnTime(now - grantedAt, this.times.mean('short'), now);
      }
    }
    endpoint.vacate(outcome, request.sizeClass === 'long', now);
    if (outcome.draining) {
      this.markDraining(endpoint.server.name);
    }
    this.health.evaluate();
    this.pump();
  }

  // Requests whose every endpoint drains now would wait in vain.
  private refuseStranded(): void {
    if (!this.pool.hasCandidate(new Set())) {
      this.refuseExpired(Infinity, 'NoEndpoint');
    }
  }

  private refuseExpired(now: number, result: RefusalResult): void {
    for (const waiter of this.room.listExpired(now)) {
      this.refuseWaiter(waiter, result);
    }
  }

  private refuseWaiter(waiter: Waiter, result: RefusalResult): void {
    this.room.remove(waiter);
    waiter.stopListening();
    this.limits.leave(waiter.request.organisation);
    const queued = this.options.now() - waiter.enteredAt;
    this.log.addRefusal(waiter.request, result, queued, waiter.expectedWaitMilliseconds);
    waiter.reject(new results.FailureError(result));
  }

  private armTick(now: number): void {
    if (this.inFlight > 0 || this.room.size > 0) {
      this.ticker.arm(this.room.nextExpiryAt - now);
    }
  }
}
