/**
 * The state that a dispatcher keeps for one endpoint: attempts in flight, failure estimate, reachability and the load
 * that other daemons cause.
 */
import { type Endpoint, isSameLifetime } from '@dogwoodstall/traffic';
import {
  FailureEstimate,
  likelihoodRatios,
  computeSilenceRatio,
  updateProbability,
} from './belief.js';

/** Backoff after a refused connection; doubles with each further one until the endpoint responds. */
const FIRST_PAUSE_MILLISECONDS = 300;
const LONGEST_PAUSE_MILLISECONDS = 2400;
/** Time for which load reported by the endpoint and caused by other daemons is taken into account. */
const FOREIGN_LOAD_MILLISECONDS = 250;
/** A success that takes longer than this multiple of the mean service time counts as slow. */
const SLOW_MULTIPLE = 3;

/** A granted attempt in flight. */
export interface Attempt {
  readonly entry: string;
  readonly route: string;
  readonly target: number;
  readonly idempotent: boolean;
  readonly startedAt: number;
  readonly expected: number;
  readonly expiresAt: number;
  readonly fingerprint: string;
}

/** Outcome of an attempt, as reported by its entry daemon. */
export type AttemptOutcome =
  'success' | 'error' | 'shed' | 'reset' | 'refused' | 'misdirected' | 'abandoned' | 'unused';

/** The reported result of an attempt. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  /** Time from sending the request to the response or the end of the attempt. */
  readonly elapsed: number;
  /** Running and queued requests that the endpoint reported; negative if it reported none. */
  readonly load: number;
  /** Whether the attempt ended before a response began. */
  readonly silent: boolean;
  /** Idle time of the connection before the attempt; 0 for a new connection. */
  readonly rested: number;
}

/** The result of an attempt after the dispatcher has classified its outcome. */
export interface ClassifiedResult extends Omit<AttemptResult, 'outcome'> {
  /** `forgotten`: a reset that only means that the endpoint had closed the idle connection. */
  readonly outcome: AttemptOutcome | 'forgotten';
}

/** The state that a dispatcher keeps for one endpoint. */
export class EndpointState {
  readonly flights = new Map<number, Attempt>();

  /** When each entry daemon last used the endpoint; tells whether it probably has an open connection. */
  readonly usedByEntry = new Map<string, number>();

  lastGrantAt = -Infinity;

  lastSuccessAt = -Infinity;

  private belief: FailureEstimate;

  private pausedUntil = -Infinity;

  private pauseMilliseconds = FIRST_PAUSE_MILLISECONDS;

  private foreignLoad = 0;

  private foreignLoadAt = -Infinity;

  private warmUntil: number;

  constructor(
    private described: Endpoint,
    now: number,
  ) {
    this.belief = new FailureEstimate(now);
    this.warmUntil = now + described.warmUpMilliseconds;
  }

  get endpoint(): Endpoint {
    return this.described;
  }

  /** Applies a change of the directory; a new lifetime of the endpoint starts with a fresh state. */
  update(endpoint: Endpoint, now: number): void {
    if (!isSameLifetime(endpoint, this.described)) {
      this.belief = new FailureEstimate(now);
      this.flights.clear();
      this.usedByEntry.clear();
      this.pausedUntil = -Infinity;
      this.warmUntil = now + endpoint.warmUpMilliseconds;
    }
    this.described = endpoint;
  }

  /** Whether the endpoint can be granted now. */
  isOpen(now: number): boolean {
    return !this.described.draining && now >= this.pausedUntil && this.freeSlots(now) > 0;
  }

  /** Number of slots that neither attempts in flight nor the load of other daemons occupies. */
  freeSlots(now: number): number {
    const foreign = now - this.foreignLoadAt < FOREIGN_LOAD_MILLISECONDS ? this.foreignLoad : 0;
    return this.described.slots - this.flights.size - foreign;
  }

  /** Whether the endpoint is still in its warm-up period. */
  isWarmingUp(now: number): boolean {
    return now < this.warmUntil;
  }

  /** Whether the endpoint is in backoff after refused connections or misdirected requests. */
  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** Probability of a gray failure, including the evidence of attempts that are still without a response. */
  risk(now: number): number {
    let probability = this.belief.at(now);
    for (const { startedAt, expected } of this.flights.values()) {
      probability = updateProbability(
        probability,
        computeSilenceRatio((now - startedAt) / expected),
      );
    }
    return probability;
  }

  /** Replaces the failure estimate with the probability that another dispatcher reported. */
  adoptRisk(probability: number, now: number): void {
    this.belief.adopt(probability, now);
  }

  /** Registers a granted attempt. */
  begin(grantId: number, flight: Attempt): void {
    this.flights.set(grantId, flight);
    this.lastGrantAt = flight.startedAt;
    this.usedByEntry.set(flight.entry, flight.startedAt);
  }

  /** Removes an attempt and updates the state by its result. */
  end(grantId: number, end: ClassifiedResult, now: number): void {
    const flight = this.flights.get(grantId);
    if (flight === undefined) {
      return;
    }
    this.flights.delete(grantId);
    this.countOutcome(flight, end, now);
    if (end.load >= 0) {
      // The reported load includes the request that has just been answered, so it is subtracted.
      this.foreignLoad = Math.max(0, end.load - 1 - this.flights.size);
      this.foreignLoadAt = now;
    }
  }

  private countOutcome(flight: Attempt, end: ClassifiedResult, now: number): void {
    const multiple = end.elapsed / flight.expected;
    switch (end.outcome) {
      case 'success':
        this.noteContact();
        this.lastSuccessAt = now;
        this.belief.observe(
          multiple > SLOW_MULTIPLE ? likelihoodRatios.slowSuccess : likelihoodRatios.success,
          now,
        );
        return;
      case 'forgotten':
        this.belief.observe(likelihoodRatios.forgotten, now);
        return;
      case 'error':
      case 'shed':
        this.noteContact();
        this.belief.observe(likelihoodRatios[end.outcome], now);
        return;
      case 'reset':
        this.belief.observe(likelihoodRatios.reset, now);
        return;
      case 'abandoned':
        if (end.silent) {
          this.belief.observe(computeSilenceRatio(multiple), now);
        }
        return;
      case 'refused':
      case 'misdirected':
        this.pause(now);
        break;
      default:
    }
  }

  private noteContact(): void {
    this.pauseMilliseconds = FIRST_PAUSE_MILLISECONDS;
  }

  private pause(now: number): void {
    this.pausedUntil = now + this.pauseMilliseconds;
    this.pauseMilliseconds = Math.min(LONGEST_PAUSE_MILLISECONDS, this.pauseMilliseconds * 2);
  }
}
