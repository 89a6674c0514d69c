/**
 * The slots of one endpoint: the exact number of this dispatcher's requests, the load of other
 * dispatchers as reported by the endpoint, and an adaptive concurrency limit.
 */
import type { AttemptOutcome, ReportedLoad } from '@dogwoodstall/health';
import type { BackendServer } from '@dogwoodstall/model';

/** A load report older than this is ignored. */
const REPORT_LIFETIME_MILLISECONDS = 500;

/**
 * Responses may arrive out of order within this time, so a load report may still include requests
 * whose own responses arrived before it.
 */
const REORDERING_WINDOW_MILLISECONDS = 50;

/** Minimum time between two reductions of the limit, so that each takes effect before the next. */
const LIMIT_REDUCTION_INTERVAL_MILLISECONDS = 200;

/** Time without a sign of overload after which the limit rises by one slot. */
const LIMIT_INCREASE_INTERVAL_MILLISECONDS = 500;

const LIMIT_REDUCTION_FACTOR = 0.7;

/** A busy endpoint is overloaded if its mean slot time exceeds the cell's by this factor. */
const OVERLOAD_TIME_RATIO = 2.5;

const MEAN_WEIGHT = 0.1;

/** Minimum time between two probe requests to an endpoint that is being probed. */
const PROBE_INTERVAL_MILLISECONDS = 50;

/** Admission weight up to which an endpoint receives only probe requests. */
const PROBE_WEIGHT = 0.1;

/** Tracks the slots in use at one endpoint and the limit of requests it may run. */
export class EndpointSlots {
  server: BackendServer;

  inFlight = 0;

  longInFlight = 0;

  /** Drain reported by any source; `server.draining` holds the one set in the configuration. */
  reportedDraining = false;

  /** The endpoint was removed from the configuration but may still have requests in flight. */
  removed = false;

  private adaptiveLimit: number;

  private otherDispatchersLoad = 0;

  private reportedAt = -Infinity;

  private recentInFlight = 0;

  private recentInFlightAt = -Infinity;

  private reducedAt = -Infinity;

  private overloadedAt = -Infinity;

  private meanShort = 0;

  private lastAcquiredAt = -Infinity;

  constructor(server: BackendServer) {
    this.server = server;
    this.adaptiveLimit = server.slots;
  }

  /** Whether the endpoint must not receive new requests. */
  get draining(): boolean {
    return this.reportedDraining || this.server.draining || this.removed;
  }

  /** Returns the current concurrency limit, from 1 to the endpoint's number of slots. */
  limit(now: number): number {
    const recovered = Math.floor((now - this.overloadedAt) / LIMIT_INCREASE_INTERVAL_MILLISECONDS);
    if (recovered > 0 && this.adaptiveLimit < this.server.slots) {
      this.adaptiveLimit = Math.min(this.server.slots, this.adaptiveLimit + recovered);
      this.overloadedAt = now;
    }
    return Math.min(this.adaptiveLimit, this.server.slots);
  }

  /** Returns the load of other dispatchers in the latest report; 0 if the report is too old. */
  otherDispatchersInFlight(now: number): number {
    return now - this.reportedAt > REPORT_LIFETIME_MILLISECONDS ? 0 : this.otherDispatchersLoad;
  }

  /** Returns the slots usable by this dispatcher; at least 1, as reports may be stale or wrong. */
  usableSlots(now: number, weight: number): number {
    const limit = Math.max(1, Math.floor(this.limit(now) * weight));
    return Math.max(1, limit - this.otherDispatchersInFlight(now));
  }

  /** Returns whether the endpoint can accept one more request now. */
  hasFreeSlot(now: number, weight: number): boolean {
    if (this.draining || weight <= 0 || this.inFlight >= this.usableSlots(now, weight)) {
      return false;
    }
    return weight > PROBE_WEIGHT || now - this.lastAcquiredAt >= PROBE_INTERVAL_MILLISECONDS;
  }

  /** Returns the fraction of the slots that is in use by all dispatchers together. */
  occupancy(now: number): number {
    return (this.inFlight + this.otherDispatchersInFlight(now)) / this.server.slots;
  }

  /** Takes a slot for a request. */
  acquire(now: number, isLong: boolean): void {
    this.inFlight += 1;
    this.longInFlight += isLong ? 1 : 0;
    this.lastAcquiredAt = now;
  }

  /** Frees a slot and updates load and limit from the outcome of the attempt. */
  release(outcome: AttemptOutcome, isLong: boolean, now: number): void {
    this.recordRecentInFlight(now);
    if (outcome.reportedLoad !== undefined) {
      this.applyLoadReport(outcome.reportedLoad, now);
    }
    if (outcome.kind === 'shed') {
      this.reduceLimit(now);
    }
    if (outcome.draining) {
      this.reportedDraining = true;
    }
    this.inFlight -= 1;
    this.longInFlight -= isLong ? 1 : 0;
  }

  /** Records a slot time and reduces the limit if the endpoint is much slower than its cell. */
  recordServiceTime(milliseconds: number, cellMean: number, now: number): void {
    this.meanShort += MEAN_WEIGHT * (milliseconds - this.meanShort);
    const busy = this.inFlight + 1 >= this.limit(now) && this.limit(now) > 1;
    if (busy && cellMean > 0 && this.meanShort > OVERLOAD_TIME_RATIO * cellMean) {
      this.reduceLimit(now);
    }
  }

  private recordRecentInFlight(now: number): void {
    const expired = now - this.recentInFlightAt > REORDERING_WINDOW_MILLISECONDS;
    if (expired || this.inFlight >= this.recentInFlight) {
      this.recentInFlight = this.inFlight;
      this.recentInFlightAt = now;
    }
  }

  // The report includes this dispatcher's own requests; without them, the rest is the load of other
  // dispatchers.
  private applyLoadReport(load: ReportedLoad, now: number): void {
    const total = load.inFlight + load.queued;
    this.otherDispatchersLoad = Math.max(0, total - this.recentInFlight);
    this.reportedAt = now;
    if (load.queued > 0 && total <= this.inFlight) {
      this.reduceLimit(now);
    }
  }

  private reduceLimit(now: number): void {
    this.overloadedAt = now;
    if (now - this.reducedAt >= LIMIT_REDUCTION_INTERVAL_MILLISECONDS) {
      this.reducedAt = now;
      this.adaptiveLimit = Math.max(1, Math.floor(this.limit(now) * LIMIT_REDUCTION_FACTOR));
    }
  }
}
