/**
 * The requests that wait for a slot of one cell: who is admitted, who is served first, and who is refused.
 */
import { Admission } from './admission.js';
import type { EndpointState } from './endpoint-state.js';
import { FairShares } from './fair-shares.js';
import type { ServiceTimes } from './service-times.js';
import { countSlots } from './slot-count.js';
import type { SlotRequest } from './slot-request.js';
import { type Waiter, WaitingOrder } from './waiting-order.js';
import { WaitingQueue } from './waiting-queue.js';

/** Options of `WaitingRoom`. */
export interface WaitingRoomOptions {
  readonly states: ReadonlyMap<string, EndpointState>;
  readonly serviceTimes: ServiceTimes;
  /** Grants a slot; returns whether one was granted. */
  readonly tryGrant: (waiter: Waiter, now: number) => boolean;
  /** Refuses a request whose caller may return after some milliseconds. */
  readonly refuse: (
    request: SlotRequest,
    reason: 'overload' | 'crashing',
    retryAfter: number,
    inExcess: boolean,
  ) => void;
  readonly isCrashing: (request: SlotRequest, now: number) => boolean;
}

/** Holds the waiting requests of one cell. */
export class WaitingRoom {
  private readonly shares = new FairShares();

  private readonly queue: WaitingQueue;

  private readonly admission: Admission;

  constructor(private readonly options: WaitingRoomOptions) {
    const { states, serviceTimes } = options;
    const { shares } = this;
    this.queue = new WaitingQueue(new WaitingOrder({ serviceTimes, shares }));
    this.admission = new Admission({ states, queue: this.queue, serviceTimes, shares });
  }

  get size(): number {
    return this.queue.size;
  }

  /** Grants, queues or refuses a request. Returns whether it was queued. */
  ask(request: SlotRequest, now: number): boolean {
    const waiter = { request, arrivedAt: now };
    const service = this.options.serviceTimes.expect(request.route, request.target);
    this.shares.recordAsk(request, service, now);
    const countUsable = (): number => countSlots(this.options.states.values(), now).slots;
    this.shares.update(countUsable, this.queue.list(), now);
    if (!this.admission.canServe(waiter, now) || !this.makeRoom(waiter, now)) {
      this.refuseForOverload(waiter, now);
      return false;
    }
    if (!this.queue.hasRequestAhead(waiter, now) && this.options.tryGrant(waiter, now)) {
      return false;
    }
    this.queue.add(waiter, now);
    return true;
  }

  /** Counts a grant for the organisation of its request, until `endGrant`. */
  startGrant(grantId: number, request: SlotRequest, now: number): void {
    this.shares.startGrant(grantId, request, now);
  }

  endGrant(grantId: number): void {
    this.shares.endGrant(grantId);
  }

  /** Sets whether free slots remain that a queued request can't use. */
  setPassing(waiter: Waiter, passesFreeSlots: boolean): void {
    this.queue.setPassing(waiter, passesFreeSlots);
  }

  /** Removes a request. */
  remove(key: string): void {
    this.queue.remove(key);
  }

  /** Removes and returns all requests. */
  clear(): Waiter[] {
    return this.queue.clear();
  }

  /** Grants the free slots in order, and refuses the requests that can't be served in time any more. */
  serve(now: number): void {
    if (this.queue.size === 0) {
      return;
    }
    const { states, refuse, isCrashing, tryGrant } = this.options;
    const slots = countSlots(states.values(), now);
    this.shares.update(() => slots.slots, this.queue.list(), now);
    this.queue.sort(now);
    let hasAvailableEndpoint = this.hasAvailableEndpoint(now);
    this.queue.retain((waiter, ahead) => {
      const { request } = waiter;
      if (isCrashing(request, now)) {
        refuse(request, 'crashing', request.target, false);
        return false;
      }
      if (!this.admission.canStillServe(waiter, ahead, slots, now)) {
        this.refuseForOverload(waiter, now);
        return false;
      }
      if (!hasAvailableEndpoint) {
        this.queue.setPassing(waiter, false);
        return true;
      }
      const isGranted = tryGrant(waiter, now);
      hasAvailableEndpoint = !isGranted || this.hasAvailableEndpoint(now);
      return !isGranted;
    });
  }

  /** Whether any endpoint can be granted now. */
  hasAvailableEndpoint(now: number): boolean {
    for (const state of this.options.states.values()) {
      if (state.isAvailable(now)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the queue has room for the request, which may take that of an organisation in excess. */
  private makeRoom(waiter: Waiter, now: number): boolean {
    if (!this.admission.isFull) {
      return true;
    }
    const evicted = this.queue.evictExcess(waiter, now);
    if (evicted === undefined) {
      return false;
    }
    this.refuseForOverload(evicted, now);
    return true;
  }

  private refuseForOverload(waiter: Waiter, now: number): void {
    const { inExcess } = this.queue.findPlace(waiter, now);
    const retryAfter = this.admission.scheduleReturn(waiter, now);
    this.options.refuse(waiter.request, 'overload', retryAfter, inExcess);
  }
}
