/**
 * The state that a dispatcher keeps for one endpoint: attempts in flight, failure estimate, reachability and the load
 * that other daemons cause.
 */
import { type Announcement, type Endpoint, isSameLifetime } from '@dogwoodstall/traffic';
import { AnnouncedState, type FleetAnnouncement } from './announced-state.js';
import { EntryLossEstimates } from './entry-loss.js';
import { EntryPaths } from './entry-paths.js';
import {
  FailureEstimate,
  likelihoodRatios,
  computeSilenceRatio,
  fadeRatio,
  updateProbability,
} from './failure-estimate.js';
import { RequestRateLimit } from './request-rate-limit.js';

/** Backoff after a refused connection; doubles with each further one until the endpoint responds. */
const INITIAL_BACKOFF_MILLISECONDS = 300;
const MAXIMUM_BACKOFF_MILLISECONDS = 2400;
/** Time for which load reported by the endpoint and caused by other daemons is taken into account. */
const OTHER_DAEMONS_LOAD_MILLISECONDS = 250;
/** Time for which a response to another entry daemon shows that a connection failure concerns only one path. */
const OTHERS_SUCCESS_MILLISECONDS = 1000;
/** Probability of a lost path from which an attempt is assumed not to occupy a slot. */
const LOST_PATH_PROBABILITY = 0.9;
/** Multiple of the mean service time from which a request without a response is assumed to hang. */
const HANGING_MULTIPLE = 7;
/** Time between requests to an endpoint whose slots are all taken by requests that hang. */
const TRIAL_MILLISECONDS = 1000;
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
  /** What the endpoint announced; null if nothing or if there was no response. */
  readonly announcement: Announcement | null;
}

/** The result of an attempt after the dispatcher has classified its outcome. */
export interface ClassifiedResult extends Omit<AttemptResult, 'outcome'> {
  /** `forgotten`: a reset that only means that the endpoint had closed the idle connection. */
  readonly outcome: AttemptOutcome | 'forgotten';
}

/** Reduces a likelihood ratio by the probability that a lost path explains the evidence. */
function discountRatio(ratio: number, lossProbability: number): number {
  return lossProbability + (1 - lossProbability) * ratio;
}

function weighSilence(
  { startedAt, expected }: Attempt,
  lossProbability: number,
  now: number,
): number {
  const age = now - startedAt;
  // Silence shows what the endpoint did when the request was sent.
  const ratio = fadeRatio(computeSilenceRatio(age / expected), age);
  return discountRatio(ratio, lossProbability);
}

/** The state that a dispatcher keeps for one endpoint. */
export class EndpointState {
  readonly attemptsInFlight = new Map<number, Attempt>();

  readonly paths = new EntryPaths();

  readonly announced = new AnnouncedState();

  lastGrantAt = -Infinity;

  private failureEstimate: FailureEstimate;

  private backoffUntil = -Infinity;

  private backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;

  private otherDaemonsLoad = 0;

  private otherDaemonsLoadAt = -Infinity;

  private warmUpUntil: number;

  /** Set while the endpoint announces a limit. */
  private rateLimit: RequestRateLimit | undefined;

  /** Mean service time of the route of the last grant. */
  private lastExpected: number | undefined;

  constructor(
    private description: Endpoint,
    now: number,
    private readonly getLimitShare: () => number = () => 1,
    private readonly entryLoss = new EntryLossEstimates(),
  ) {
    this.failureEstimate = new FailureEstimate(now);
    this.warmUpUntil = now + description.warmUpMilliseconds;
  }

  get endpoint(): Endpoint {
    return this.description;
  }

  /** Applies a change of the directory; a new lifetime discards the failure estimate, attempts and backoff. */
  update(endpoint: Endpoint, now: number): void {
    if (!isSameLifetime(endpoint, this.description)) {
      this.failureEstimate = new FailureEstimate(now);
      this.attemptsInFlight.clear();
      this.paths.clear();
      this.announced.clear();
      this.rateLimit = undefined;
      this.backoffUntil = -Infinity;
      this.warmUpUntil = now + endpoint.warmUpMilliseconds;
    }
    this.description = endpoint;
  }

  /** Whether the endpoint is about to stop, as it announced itself or as the directory says. */
  get isDraining(): boolean {
    return this.description.draining || this.announced.leaving;
  }

  /** Whether the endpoint can be granted now to an entry daemon that reaches it. */
  isAvailable(now: number): boolean {
    return !this.isDraining && now >= this.backoffUntil && this.countFreeSlots(now) > 0;
  }

  /**
   * Number of slots that neither attempts in flight nor the load of other daemons occupies and that the announced limit
   * allows to use now.
   */
  countFreeSlots(now: number): number {
    const usedByOthers =
      now - this.otherDaemonsLoadAt < OTHER_DAEMONS_LOAD_MILLISECONDS ? this.otherDaemonsLoad : 0;
    const unused = this.description.slots - this.countUsedSlots(now) - usedByOthers;
    const free = unused <= 0 && this.isDueForTrial(now) ? 1 : unused;
    return this.rateLimit === undefined ? free : Math.min(free, this.rateLimit.countAllowed(now));
  }

  /** Whether all attempts in flight hang, so that only a further request shows whether the endpoint has recovered. */
  private isDueForTrial(now: number): boolean {
    if (now - this.lastGrantAt < TRIAL_MILLISECONDS) {
      return false;
    }
    for (const { startedAt, expected } of this.attemptsInFlight.values()) {
      if (now - startedAt < expected * HANGING_MULTIPLE) {
        return false;
      }
    }
    return this.attemptsInFlight.size > 0;
  }

  private countUsedSlots(now: number): number {
    let count = 0;
    for (const attempt of this.attemptsInFlight.values()) {
      if (this.entryLoss.estimate(attempt, now) < LOST_PATH_PROBABILITY) {
        count += 1;
      }
    }
    return count;
  }

  /** Number of slots that can be kept in use; below the endpoint's own if it announces a limit. */
  get usableSlots(): number {
    const { slots } = this.description;
    return this.rateLimit === undefined || this.lastExpected === undefined
      ? slots
      : Math.min(slots, this.rateLimit.perMillisecond * this.lastExpected);
  }

  /** Gives up the requests that the announced limit allows now, because another dispatcher grants them. */
  drainRateLimit(now: number): void {
    this.rateLimit?.drain(now);
  }

  /** Applies what a response announced; see `AnnouncedState.apply`. */
  applyAnnouncement(announcement: FleetAnnouncement, sentAt: number, now: number): boolean {
    const hasChanged = this.announced.apply(announcement, sentAt, now);
    this.updateRateLimit(hasChanged, now);
    return hasChanged;
  }

  /** Merges what another dispatcher knew; see `AnnouncedState.merge`. */
  mergeAnnouncement(announcement: FleetAnnouncement, evidenceAt: number, now: number): boolean {
    const hasChanged = this.announced.merge(announcement, evidenceAt);
    this.updateRateLimit(hasChanged, now);
    return hasChanged;
  }

  private updateRateLimit(hasChanged: boolean, now: number): void {
    const { requestsPerSecond } = this.announced;
    if (requestsPerSecond === null) {
      this.rateLimit = undefined;
    } else if (this.rateLimit === undefined) {
      this.rateLimit = new RequestRateLimit(requestsPerSecond, this.getLimitShare, now);
    } else if (hasChanged) {
      this.rateLimit.setRate(requestsPerSecond, now);
    }
  }

  /** Whether the endpoint is still in its warm-up period. */
  isWarmingUp(now: number): boolean {
    return now < this.warmUpUntil;
  }

  /** Whether the endpoint is in backoff after refused connections or misdirected requests. */
  isInBackoff(now: number): boolean {
    return now < this.backoffUntil;
  }

  /** Probability of a gray failure, including the evidence of attempts that are still without a response. */
  estimateRisk(now: number): number {
    let probability = this.failureEstimate.at(now);
    for (const attempt of this.attemptsInFlight.values()) {
      const ratio = weighSilence(attempt, this.entryLoss.estimate(attempt, now), now);
      probability = updateProbability(probability, ratio);
    }
    return probability;
  }

  /** The same without the evidence of one attempt. */
  estimateRiskWithout(excludedGrantId: number, now: number): number {
    let probability = this.failureEstimate.at(now);
    for (const [grantId, attempt] of this.attemptsInFlight) {
      if (grantId !== excludedGrantId) {
        const ratio = weighSilence(attempt, this.entryLoss.findLast(attempt), now);
        probability = updateProbability(probability, ratio);
      }
    }
    return probability;
  }

  /** Replaces the failure estimate with the probability that another dispatcher reported. */
  importRisk(probability: number, now: number): void {
    this.failureEstimate.replace(probability, now);
  }

  /** Registers a granted attempt. */
  startAttempt(grantId: number, attempt: Attempt): void {
    this.attemptsInFlight.set(grantId, attempt);
    this.entryLoss.start(grantId, attempt, this);
    this.rateLimit?.take(attempt.startedAt);
    this.lastExpected = attempt.expected;
    this.lastGrantAt = attempt.startedAt;
    this.paths.recordUse(attempt.entry, attempt.startedAt);
  }

  /** Removes an attempt and updates the state by its result. */
  finishAttempt(grantId: number, result: ClassifiedResult, now: number): void {
    const attempt = this.attemptsInFlight.get(grantId);
    if (attempt === undefined) {
      return;
    }
    const lossProbability = this.entryLoss.estimate(attempt, now);
    this.attemptsInFlight.delete(grantId);
    this.entryLoss.finish(grantId, attempt.entry, !result.silent, now);
    this.applyOutcome(attempt, result, lossProbability, now);
    if (result.load >= 0) {
      // The reported load includes the request that has just completed, so it is subtracted.
      this.otherDaemonsLoad = Math.max(0, result.load - 1 - this.attemptsInFlight.size);
      this.otherDaemonsLoadAt = now;
    }
  }

  private applyOutcome(
    attempt: Attempt,
    result: ClassifiedResult,
    lossProbability: number,
    now: number,
  ): void {
    const multiple = result.elapsed / attempt.expected;
    switch (result.outcome) {
      case 'success':
        this.resetBackoff();
        this.paths.recordSuccess(attempt.entry, now);
        this.failureEstimate.observe(
          multiple > SLOW_MULTIPLE ? likelihoodRatios.slowSuccess : likelihoodRatios.success,
          now,
        );
        return;
      case 'forgotten':
        this.failureEstimate.observe(likelihoodRatios.forgotten, now);
        return;
      case 'error':
      case 'shed':
        this.resetBackoff();
        this.failureEstimate.observe(likelihoodRatios[result.outcome], now);
        return;
      case 'reset':
        this.failureEstimate.observe(likelihoodRatios.reset, now);
        return;
      case 'abandoned':
        if (result.silent) {
          const ratio = fadeRatio(computeSilenceRatio(multiple), result.elapsed);
          this.failureEstimate.observe(discountRatio(ratio, lossProbability), now);
        }
        return;
      case 'refused':
        this.paths.recordFailure(attempt.entry, now);
        if (!this.paths.hasOthersSuccessSince(attempt.entry, now - OTHERS_SUCCESS_MILLISECONDS)) {
          this.startBackoff(now);
        }
        return;
      case 'misdirected':
        this.startBackoff(now);
        break;
      default:
    }
  }

  private resetBackoff(): void {
    this.backoffUntil = -Infinity;
    this.backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
  }

  private startBackoff(now: number): void {
    this.backoffUntil = now + this.backoffMilliseconds;
    this.backoffMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, this.backoffMilliseconds * 2);
  }
}
