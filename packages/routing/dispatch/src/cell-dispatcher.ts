/**
 * The dispatcher of one cell: queues requests, assigns them to endpoint slots and tracks the health
 * of the endpoints.
 */
import * as health from '@dogwoodstall/health';
import type { BackendServer, Contract } from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { AdmissionController, type AdmissionDecision } from './admission.js';
import { CellQueue } from './cell-queue.js';
import type { RefusalResult } from './decision.js';
import { DecisionLog } from './decision-log.js';
import { EndpointPool } from './endpoint-pool.js';
import type { EndpointSlots } from './endpoint-slots.js';
import { LongRequestLimiter } from './long-request-limiter.js';
import { type CellDispatcherOptions, scheduleTimer } from './options.js';
import { OrganisationLimiter } from './organisation-limits.js';
import type { DispatchRequest, SlotGrant } from './request.js';
import { ServiceTimes } from './service-times.js';
import { createGrant } from './slot-grant.js';
import { type CellSnapshot, describeEndpoints } from './snapshot.js';
import { Ticker } from './ticker.js';
import { createWaiter, listenForAbort, type Waiter } from './waiter.js';

/** Maximum number of parked requests examined in each dispatch run. */
const PARKED_SEARCH_LIMIT = 32;

/** Grants the slots of one cell's endpoints to requests. */
export class CellDispatcher {
  /** Health and ejections of the endpoints. */
  readonly health: health.CellHealth;

  private readonly options: CellDispatcherOptions;

  private readonly pool: EndpointPool;

  private readonly queue: CellQueue;

  private readonly serviceTimes = new ServiceTimes();

  private readonly organisationLimiter: OrganisationLimiter;

  private readonly admission: AdmissionController;

  private readonly longRequestLimiter: LongRequestLimiter;

  private readonly log: DecisionLog;

  private contract: Contract;

  private readonly ticker: Ticker;

  private inFlight = 0;

  private lastUsedAt: number;

  constructor(options: CellDispatcherOptions) {
    const { servers, contract, now, random, logHealth } = options;
    this.options = options;
    this.contract = contract;
    this.ticker = new Ticker(options.schedule ?? scheduleTimer, () => {
      this.health.evaluate();
      this.dispatchWaiting();
    });
    this.lastUsedAt = now();
    const logDecision = logHealth ?? ((): void => {});
    this.health = new health.CellHealth({ servers, contract, now, random, logDecision });
    this.pool = new EndpointPool(servers, this.health);
    this.queue = new CellQueue(options.findWeight ?? (() => 1));
    this.organisationLimiter = new OrganisationLimiter(contract);
    this.admission = new AdmissionController(this.serviceTimes, this.queue, now());
    this.longRequestLimiter = new LongRequestLimiter(contract.longSlotShare);
    this.log = new DecisionLog({
      cellName: options.cellName,
      now,
      countWaiting: () => this.queue.size,
      write: options.logDecision,
    });
  }

  /**
   * Waits for a slot.
   *
   * Rejects with a `FailureError` whose kind is a `RefusalResult` if the request is refused; it has
   * not been sent to any endpoint.
   */
  acquire(request: DispatchRequest): Promise<SlotGrant> {
    return new Promise((resolve, reject) => {
      this.admitOrRefuse(request, resolve, reject);
    });
  }

  /** Applies a new list of endpoints and, if given, a new contract. */
  updateEndpoints(servers: readonly BackendServer[], contract = this.contract): void {
    this.contract = contract;
    this.organisationLimiter.updateContract(contract);
    this.longRequestLimiter.share = contract.longSlotShare;
    this.health.updateEndpoints(servers, contract);
    this.pool.update(servers);
    this.refuseAllIfNoEndpoint();
    this.dispatchWaiting();
  }

  /** Stops sending new requests to an endpoint immediately. */
  markDraining(endpointName: string): void {
    this.pool.markDraining(endpointName);
    this.refuseAllIfNoEndpoint();
  }

  /** Resumes an endpoint whose reported drain has ended. */
  clearDraining(endpointName: string): void {
    this.pool.clearDraining(endpointName);
    this.dispatchWaiting();
  }

  /** Returns the time since which no request has been waiting or running, if the cell is idle. */
  idleSince(): number | undefined {
    return this.inFlight === 0 && this.queue.size === 0 ? this.lastUsedAt : undefined;
  }

  /** Refuses all waiting requests and stops the timer, when the cell is removed or idle. */
  close(): void {
    this.refuseExpired(Infinity, 'NoEndpoint');
    this.ticker.cancel();
  }

  /** Returns the state of the endpoints and queues. */
  snapshot(): CellSnapshot {
    return {
      name: this.options.cellName,
      endpoints: describeEndpoints(this.pool, this.health.snapshot(), this.options.now()),
      waitingShort: this.queue.count('short'),
      waitingLong: this.queue.count('long'),
      grants: this.log.grants,
      refusals: this.log.refusals,
      meanShortMilliseconds: this.serviceTimes.mean('short'),
      meanLongMilliseconds: this.serviceTimes.mean('long'),
    };
  }

  private admitOrRefuse(
    request: DispatchRequest,
    resolve: (grant: SlotGrant) => void,
    reject: (error: Error) => void,
  ): void {
    const now = this.options.now();
    this.lastUsedAt = now;
    this.health.evaluate();
    this.longRequestLimiter.recordArrival(request.sizeClass, now);
    const capacity = this.pool.computeCapacity(now);
    const longLimit = this.longRequestLimiter.limit(capacity.slots, now);
    const admission = this.admission.decide(request, capacity, longLimit, now);
    const refusal = this.findRefusal(request, admission, now);
    if (refusal !== undefined) {
      this.log.addRefusal(request, refusal, 0, admission.waitMilliseconds);
      reject(new results.FailureError(refusal));
      return;
    }
    const waiter = createWaiter({ request, admission, now, resolve, reject });
    listenForAbort(waiter, () => this.refuseWaiter(waiter, 'CancelledInQueue'));
    this.queue.enqueue(waiter);
    this.dispatchWaiting();
  }

  private findRefusal(
    request: DispatchRequest,
    admission: AdmissionDecision,
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
    if (!admission.admitted) {
      return 'DeadlineUnreachable';
    }
    const exceeded = this.organisationLimiter.tryAcquire(organisation, now);
    if (exceeded !== undefined) {
      return exceeded;
    }
    if (!this.ensureQueueCapacity(request, now)) {
      this.organisationLimiter.release(organisation);
      return 'QueueFull';
    }
    return undefined;
  }

  // Checks the queue limit and evicts a waiting request if necessary. A request that can start at
  // once does not count towards the limit.
  private ensureQueueCapacity(request: DispatchRequest, now: number): boolean {
    const { priority, sizeClass, organisation } = request;
    if (this.queue.size < this.contract.queueLimit) {
      return true;
    }
    if (this.queue.size === 0 && this.pool.hasFreeSlot(now)) {
      return true;
    }
    const evicted = this.queue.findEvictable(priority, sizeClass, organisation);
    if (evicted === undefined) {
      return false;
    }
    const result = evicted.request.priority > priority ? 'ShedByPriority' : 'QueueFull';
    this.refuseWaiter(evicted, result);
    return true;
  }

  // Assigns free slots to waiting requests until either runs out.
  private dispatchWaiting(): void {
    const now = this.options.now();
    this.refuseExpired(now, 'DeadlineInQueue');
    this.dispatchParked(now);
    while (this.pool.hasFreeSlot(now)) {
      const waiter = this.selectNextWaiter(now);
      if (waiter === undefined) {
        break;
      }
      const endpoint = this.pool.selectEndpoint(waiter.request, now);
      if (endpoint === undefined) {
        this.queue.park(waiter);
      } else {
        this.queue.dequeue(waiter);
        this.grant(waiter, endpoint, now);
      }
    }
    if (this.queue.size === 0) {
      this.admission.recordEmptyQueue(now);
    }
    this.armTicker(now);
  }

  private dispatchParked(now: number): void {
    let searched = 0;
    for (const waiter of this.queue.parked) {
      searched += 1;
      const endpoint = this.pool.selectEndpoint(waiter.request, now);
      if (endpoint !== undefined && this.canStart(waiter, now)) {
        this.queue.dequeue(waiter);
        this.grant(waiter, endpoint, now);
      }
      if (searched >= PARKED_SEARCH_LIMIT) {
        return;
      }
    }
  }

  private canStart(waiter: Waiter, now: number): boolean {
    const capacity = this.pool.computeCapacity(now);
    return waiter.request.sizeClass === 'short' || this.longRequestLimiter.canStart(capacity, now);
  }

  private selectNextWaiter(now: number): Waiter | undefined {
    if (this.queue.count('long') === 0) {
      return this.queue.peek(false);
    }
    const capacity = this.pool.computeCapacity(now);
    if (this.longRequestLimiter.isBelowGuarantee(capacity)) {
      return this.queue.peekLong();
    }
    return this.queue.peek(this.longRequestLimiter.canStart(capacity, now));
  }

  private grant(waiter: Waiter, endpoint: EndpointSlots, now: number): void {
    const { request } = waiter;
    const isLong = request.sizeClass === 'long';
    waiter.stopListening();
    const { name, slots } = endpoint.server;
    results.checkInvariant(
      !endpoint.draining,
      'WorkAfterDrain',
      () => `endpoint ${name} is draining but was selected for request ${request.requestId}`,
    );
    endpoint.acquire(now, isLong);
    results.checkInvariant(
      endpoint.inFlight <= slots,
      'SlotsOverrun',
      () => `${endpoint.inFlight} requests are in flight at ${name}, which has only ${slots} slots`,
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
    this.lastUsedAt = now;
    this.inFlight -= 1;
    this.organisationLimiter.release(request.organisation);
    if (outcome.kind === 'success') {
      this.serviceTimes.add(request.sizeClass, now - grantedAt);
      if (request.sizeClass === 'short') {
        endpoint.recordServiceTime(now - grantedAt, this.serviceTimes.mean('short'), now);
      }
    }
    endpoint.release(outcome, request.sizeClass === 'long', now);
    if (outcome.draining) {
      this.markDraining(endpoint.server.name);
    }
    this.health.evaluate();
    this.dispatchWaiting();
  }

  // If every endpoint is draining, waiting requests could never start.
  private refuseAllIfNoEndpoint(): void {
    if (!this.pool.hasCandidate(new Set())) {
      this.refuseExpired(Infinity, 'NoEndpoint');
    }
  }

  private refuseExpired(now: number, result: RefusalResult): void {
    for (const waiter of this.queue.listExpired(now)) {
      this.refuseWaiter(waiter, result);
    }
  }

  private refuseWaiter(waiter: Waiter, result: RefusalResult): void {
    this.queue.remove(waiter);
    waiter.stopListening();
    this.organisationLimiter.release(waiter.request.organisation);
    const queued = this.options.now() - waiter.enteredAt;
    this.log.addRefusal(waiter.request, result, queued, waiter.expectedWaitMilliseconds);
    waiter.reject(new results.FailureError(result));
  }

  private armTicker(now: number): void {
    if (this.inFlight > 0 || this.queue.size > 0) {
      this.ticker.arm(this.queue.nextExpiryAt - now);
    }
  }
}
