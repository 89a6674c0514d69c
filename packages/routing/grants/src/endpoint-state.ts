/**
 * What a dispatcher knows about one endpoint: requests in flight, belief, reachability, foreign load.
 */
import { type Endpoint, isSameLifetime } from '@dogwoodstall/traffic';
import { Belief, likelihoodRatios, rateSilence, updateProbability } from './belief.js';

/** Pause after a refused connection, doubled by each further one. */
const FIRST_PAUSE_MILLISECONDS = 300;
const LONGEST_PAUSE_MILLISECONDS = 2400;
/** Time for which load that other daemons cause is believed after the endpoint told it. */
const FOREIGN_LOAD_MILLISECONDS = 250;
/** A success that took this multiple of the mean counts as slow. */
const SLOW_MULTIPLE = 3;

/** One granted attempt. */
export interface Flight {
  readonly entry: string;
  readonly route: string;
  readonly target: number;
  readonly idempotent: boolean;
  readonly startedAt: number;
  readonly expected: number;
  readonly expiresAt: number;
  readonly fingerprint: string;
}

/** How an attempt ended, as its entry tells. */
export type FlightOutcome =
  'success' | 'error' | 'shed' | 'reset' | 'refused' | 'misdirected' | 'abandoned' | 'unused';

/** The end of an attempt. */
export interface FlightEnd {
  readonly outcome: FlightOutcome;
  /** From sending to the answer or the end. */
  readonly elapsed: number;
  /** Running and waiting requests that the endpoint told; negative when it told nothing. */
  readonly load: number;
  /** Whether no byte of an answer had come. */
  readonly silent: boolean;
  /** How long the connection had rested before; 0 for a new one. */
  readonly rested: number;
}

/** The end of an attempt after the dispatcher has judged it. */
export interface JudgedEnd extends Omit<FlightEnd, 'outcome'> {
  /** `forgotten`: the endpoint had probably only forgotten the connection. */
  readonly outcome: FlightOutcome | 'forgotten';
}

/** The state of one endpoint. */
export class EndpointState {
  readonly flights = new Map<number, Flight>();

  /** When each entry daemon last used the endpoint, for the reuse of its connections. */
  readonly usedByEntry = new Map<string, number>();

  lastGrantAt = -Infinity;

  lastSuccessAt = -Infinity;

  private belief: Belief;

  private pausedUntil = -Infinity;

  private pauseMilliseconds = FIRST_PAUSE_MILLISECONDS;

  private foreignLoad = 0;

  private foreignLoadAt = -Infinity;

  private warmUntil: number;

  constructor(
    private described: Endpoint,
    now: number,
  ) {
    this.belief = new Belief(now);
    this.warmUntil = now + described.warmUpMilliseconds;
  }

  get endpoint(): Endpoint {
    return this.described;
  }

  /** Follows a change of the directory; a new lifetime begins without evidence. */
  update(endpoint: Endpoint, now: number): void {
    if (!isSameLifetime(endpoint, this.described)) {
      this.belief = new Belief(now);
      this.flights.clear();
      this.usedByEntry.clear();
      this.pausedUntil = -Infinity;
      this.warmUntil = now + endpoint.warmUpMilliseconds;
    }
    this.described = endpoint;
  }

  /** Whether the endpoint may get another request now. */
  isOpen(now: number): boolean {
    return !this.described.draining && now >= this.pausedUntil && this.freeSlots(now) > 0;
  }

  /** Slots that no known request uses. */
  freeSlots(now: number): number {
    const foreign = now - this.foreignLoadAt < FOREIGN_LOAD_MILLISECONDS ? this.foreignLoad : 0;
    return this.described.slots - this.flights.size - foreign;
  }

  /** Whether the endpoint is still slow after its start. */
  isWarmingUp(now: number): boolean {
    return now < this.warmUntil;
  }

  /** Whether connections to the endpoint failed just now. */
  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** Probability of a gray failure, with the silence of the requests in flight. */
  risk(now: number): number {
    let probability = this.belief.at(now);
    for (const { startedAt, expected } of this.flights.values()) {
      probability = updateProbability(probability, rateSilence((now - startedAt) / expected));
    }
    return probability;
  }

  /** Adopts what another dispatcher told. */
  adoptRisk(probability: number, now: number): void {
    this.belief.adopt(probability, now);
  }

  /** Begins an attempt. */
  begin(grantId: number, flight: Flight): void {
    this.flights.set(grantId, flight);
    this.lastGrantAt = flight.startedAt;
    this.usedByEntry.set(flight.entry, flight.startedAt);
  }

  /** Ends an attempt and counts its outcome. */
  end(grantId: number, end: JudgedEnd, now: number): void {
    const flight = this.flights.get(grantId);
    if (flight === undefined) {
      return;
    }
    this.flights.delete(grantId);
    this.countOutcome(flight, end, now);
    if (end.load >= 0) {
      // The answered request itself is no longer part of the load.
      this.foreignLoad = Math.max(0, end.load - 1 - this.flights.size);
      this.foreignLoadAt = now;
    }
  }

  private countOutcome(flight: Flight, end: JudgedEnd, now: number): void {
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
          this.belief.observe(rateSilence(multiple), now);
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
