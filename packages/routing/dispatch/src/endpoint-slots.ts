/**
 * The slots of one endpoint: exact count of this dispatcher's own requests, the load of other
 * dispatchers by the endpoint's reports, and the adaptive limit.
 */
import type { AttemptOutcome, ReportedLoad } from '@dogwoodstall/health';
import type { BackendServer } from '@dogwoodstall/model';

/** A report says nothing about the load of others after this time. */
const REPORT_VALID_MILLISECONDS = 500;

/**
 * Answers that leave the endpoint one after the other may arrive in any order within this time: a
 * report still counts requests whose own answers arrived before it.
 */
const REORDERING_MILLISECONDS = 50;

/** Shortest time between two reductions of the limit: one reduction must take effect first. */
const REDUCTION_PAUSE_MILLISECONDS = 200;

/** Time without a sign of overload after which the limit rises by one slot. */
const INCREASE_PAUSE_MILLISECONDS = 500;

const REDUCTION_FACTOR = 0.7;

/** Ratio of the endpoint's mean slot time to the cell's that counts as overload. */
const SLOW_RATIO = 2.5;

const MEAN_WEIGHT = 0.1;

/** Pause between the requests that an endpoint on trial receives. */
const TRIAL_PAUSE_MILLISECONDS = 50;

/** Weight up to which an endpoint is on trial. */
const TRIAL_WEIGHT = 0.1;

/** The slots of one endpoint. */
export class EndpointSlots {
  server: BackendServer;

  inFlight = 0;

  longInFlight = 0;

  /** Said by any source; configuration has its own field on the server. */
  saidDraining = false;

  /** The endpoint left the configuration while requests were in flight. */
  removed = false;

  private adaptiveLimit: number;

  private foreignLoad = 0;

  private reportedAt = -Infinity;

  private recentInFlight = 0;

  private recentInFlightAt = -Infinity;

  private reducedAt = -Infinity;

  private overloadedAt = -Infinity;

  private meanShort = 0;

  private lastTrialAt = -Infinity;

  constructor(server: BackendServer) {
    this.server = server;
    this.adaptiveLimit = server.slots;
  }

  /** Whether the endpoint must not receive new work. */
  get draining(): boolean {
    return this.saidDraining || this.server.draining || this.removed;
  }

  /** Requests that the endpoint may run now, from 1 to its slots. */
  limit(now: number): number {
    const recovered = Math.floor((now - this.overloadedAt) / INCREASE_PAUSE_MILLISECONDS);
    if (recovered > 0 && this.adaptiveLimit < this.server.slots) {
      this.adaptiveLimit = Math.min(this.server.slots, this.adaptiveLimit + recovered);
      this.overloadedAt = now;
    }
    return Math.min(this.adaptiveLimit, this.server.slots);
  }

  /** Requests of other dispatchers at the endpoint, by its latest report. */
  foreign(now: number): number {
    return now - this.reportedAt > REPORT_VALID_MILLISECONDS ? 0 : this.foreignLoad;
  }

  /** Slots that this dispatcher may use; at least one, because reports lag and may lie. */
  usable(now: number, weight: number): number {
    const limit = Math.max(1, Math.floor(this.limit(now) * weight));
    return Math.max(1, limit - this.foreign(now));
  }

  /** Returns whether the endpoint can take one more request. */
  hasRoom(now: number, weight: number): boolean {
    if (this.draining || weight <= 0 || this.inFlight >= this.usable(now, weight)) {
      return false;
    }
    return weight > TRIAL_WEIGHT || now - this.lastTrialAt >= TRIAL_PAUSE_MILLISECONDS;
  }

  /** Share of the slots in use, by all dispatchers. */
  occupancy(now: number): number {
    return (this.inFlight + this.foreign(now)) / this.server.slots;
  }

  /** Takes a slot. */
  occupy(now: number, long: boolean): void {
    this.inFlight += 1;
    this.longInFlight += long ? 1 : 0;
    this.lastTrialAt = now;
  }

  /** Gives a slot back and learns from the outcome. */
  vacate(outcome: AttemptOutcome, long: boolean, now: number): void {
    this.noteRecent(now);
    if (outcome.reportedLoad !== undefined) {
      this.learnReport(outcome.reportedLoad, now);
    }
    if (outcome.kind === 'shed') {
      this.reduce(now);
    }
    if (outcome.draining) {
      this.saidDraining = true;
    }
    this.inFlight -= 1;
    this.longInFlight -= long ? 1 : 0;
  }

  /** Compares the endpoint's slot times with the mean of the cell. */
  learnTime(milliseconds: number, cellMean: number, now: number): void {
    this.meanShort += MEAN_WEIGHT * (milliseconds - this.meanShort);
    const busy = this.inFlight + 1 >= this.limit(now) && this.limit(now) > 1;
    if (busy && cellMean > 0 && this.meanShort > SLOW_RATIO * cellMean) {
      this.reduce(now);
    }
  }

  private noteRecent(now: number): void {
    const expired = now - this.recentInFlightAt > REORDERING_MILLISECONDS;
    if (expired || this.inFlight >= this.recentInFlight) {
      this.recentInFlight = this.inFlight;
      this.recentInFlightAt = now;
    }
  }

  // The report was made while this dispatcher's requests were counted in it.
  private learnReport(load: ReportedLoad, now: number): void {
    const total = load.inFlight + load.queued;
    this.foreignLoad = Math.max(0, total - this.recentInFlight);
    this.reportedAt = now;
    if (load.queued > 0 && total <= this.inFlight) {
      this.reduce(now);
    }
  }

  private reduce(now: number): void {
    this.overloadedAt = now;
    if (now - this.reducedAt >= REDUCTION_PAUSE_MILLISECONDS) {
      this.reducedAt = now;
      this.adaptiveLimit = Math.max(1, Math.floor(this.limit(now) * REDUCTION_FACTOR));
    }
  }
}
