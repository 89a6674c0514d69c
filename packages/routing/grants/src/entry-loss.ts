/**
 * Estimates for each entry daemon whether it has lost its network path to the endpoints of the cell, so that requests of
 * one daemon that stay without a response are not taken for gray failures of all the endpoints that it was granted.
 */
import { FAILING_SHARE, computeSurvival, updateProbability } from './failure-estimate.js';

/** Probability that a daemon has no path to the endpoints, without any evidence. */
const LOSS_PRIOR = 0.01;
/** Multiple of the mean service time up to which a response is not late. */
const DUE_MULTIPLE = 1.4;

/** What the estimate uses of an attempt in flight. */
export interface EntryAttempt {
  readonly entry: string;
  readonly startedAt: number;
  readonly expected: number;
}

/** What the estimate uses of an endpoint. */
export interface AttemptedEndpoint {
  readonly attemptsInFlight: ReadonlyMap<number, unknown>;
  /** Returns the probability of a gray failure, without the evidence of one attempt. */
  readonly estimateRiskWithout: (grantId: number, now: number) => number;
}

interface EntryEvidence {
  readonly attempts: Map<
    number,
    { readonly attempt: EntryAttempt; readonly endpoint: AttemptedEndpoint }
  >;
  lastResponseAt: number;
  probability: number;
  estimatedAt: number;
}

/** Estimates the loss of paths from the attempts in flight; any response shows that its entry daemon has a path. */
export class EntryLossEstimates {
  private readonly entries = new Map<string, EntryEvidence>();

  /** Registers a granted attempt. */
  start(grantId: number, attempt: EntryAttempt, endpoint: AttemptedEndpoint): void {
    let evidence = this.entries.get(attempt.entry);
    if (evidence === undefined) {
      evidence = {
        attempts: new Map(),
        lastResponseAt: -Infinity,
        probability: LOSS_PRIOR,
        estimatedAt: -Infinity,
      };
      this.entries.set(attempt.entry, evidence);
    }
    evidence.attempts.set(grantId, { attempt, endpoint });
  }

  /** Removes an attempt; `responded` is whether its endpoint sent anything. */
  finish(grantId: number, entry: string, responded: boolean, now: number): void {
    const evidence = this.entries.get(entry);
    if (evidence === undefined) {
      return;
    }
    evidence.attempts.delete(grantId);
    evidence.estimatedAt = -Infinity;
    if (responded) {
      evidence.lastResponseAt = now;
    }
    if (evidence.attempts.size === 0) {
      this.entries.delete(entry);
    }
  }

  /** Probability that a lost path of the entry daemon is why an attempt has no response. */
  estimate(attempt: EntryAttempt, now: number): number {
    const evidence = this.entries.get(attempt.entry);
    if (evidence === undefined || !EntryLossEstimates.isExplained(attempt, evidence)) {
      return 0;
    }
    if (evidence.estimatedAt !== now) {
      evidence.estimatedAt = now;
      evidence.probability = EntryLossEstimates.compute(evidence, now);
    }
    return evidence.probability;
  }

  /** The last value of `estimate`; endpoints use it for each other's evidence, which `estimate` depends on in turn. */
  findLast(attempt: EntryAttempt): number {
    const evidence = this.entries.get(attempt.entry);
    return evidence !== undefined && EntryLossEstimates.isExplained(attempt, evidence)
      ? evidence.probability
      : 0;
  }

  /** Whether the response was not yet due when the entry daemon got its last one. */
  private static isExplained(
    { startedAt, expected }: EntryAttempt,
    { lastResponseAt }: EntryEvidence,
  ): boolean {
    return startedAt + expected * DUE_MULTIPLE > lastResponseAt;
  }

  private static compute(evidence: EntryEvidence, now: number): number {
    let probability = LOSS_PRIOR;
    for (const [grantId, { attempt, endpoint }] of evidence.attempts) {
      if (!endpoint.attemptsInFlight.has(grantId)) {
        evidence.attempts.delete(grantId);
      } else if (EntryLossEstimates.isExplained(attempt, evidence)) {
        const survival = computeSurvival((now - attempt.startedAt) / attempt.expected);
        const risk = endpoint.estimateRiskWithout(grantId, now);
        const silenceWithPath =
          risk * (FAILING_SHARE + (1 - FAILING_SHARE) * survival) + (1 - risk) * survival;
        probability = updateProbability(probability, 1 / silenceWithPath);
      }
    }
    return probability;
  }
}
