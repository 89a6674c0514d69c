/**
 * Detects the loss of a backend server, that is the end of its process, from the results of the
 * attempts sent to it.
 */
import type { Fingerprint } from './fingerprint.js';

/** The result of an attempt, classified for the detection of lost servers. */
export type AttemptResult =
  | 'answered'
  | 'reset'
  /** The connection broke and the server refused a new one at once: its process has ended. */
  | 'lost'
  | 'refused'
  | 'other';

/** An attempt at a backend server, tracked while it is in flight. */
export interface TrackedAttempt {
  readonly endpointName: string;
  readonly fingerprint: Fingerprint;
  readonly startedAt: number;
}

interface Reset {
  readonly attempt: TrackedAttempt;
  readonly at: number;
}

/** A crash resets all connections of a server at once; the reset events arrive within this time. */
const RESET_WINDOW_MILLISECONDS = 200;

/** A connection refused within this time after a reset shows that the server process has ended. */
const RESET_TO_REFUSAL_MILLISECONDS = 3000;

const MINIMUM_RESETS_FOR_LOSS = 2;

/** Tracks the connection resets of one endpoint and detects its loss. */
export class EndpointLossDetector {
  /** Time of the loss; negative infinity while the server responds. */
  lostAt = -Infinity;

  /** Identifier of the latest loss. */
  lossId = '';

  private resets: Reset[] = [];

  constructor(private readonly createLossId: () => string) {}

  /** Whether the server was lost and has not responded since. */
  get lost(): boolean {
    return this.lostAt > -Infinity;
  }

  /** Records the result of an attempt; returns the attempts suspected of causing a loss. */
  recordResult(
    attempt: TrackedAttempt,
    result: AttemptResult,
    now: number,
  ): readonly TrackedAttempt[] {
    if (result === 'answered') {
      this.clearResetsBefore(attempt.startedAt);
    } else if (result === 'reset') {
      this.resets.push({ attempt, at: now });
      this.keepRecentResets(now);
      return this.declareLoss(this.resets.length >= MINIMUM_RESETS_FOR_LOSS, now);
    } else if (result === 'lost') {
      this.resets.push({ attempt, at: now });
      this.keepRecentResets(now);
      return this.declareLoss(true, now);
    } else if (result === 'refused') {
      this.keepRecentResets(now);
      return this.declareLoss(this.resets.length > 0, now);
    }
    return [];
  }

  // Discards resets that were not simultaneous with the latest one: their attempts were not in flight
  // at the same crash.
  private keepRecentResets(now: number): void {
    const latestAt = this.resets.at(-1)?.at ?? -Infinity;
    const expired = now - latestAt > RESET_TO_REFUSAL_MILLISECONDS;
    const after = latestAt - RESET_WINDOW_MILLISECONDS;
    this.resets = expired ? [] : this.resets.filter((reset) => reset.at >= after);
  }

  // A response to an attempt that started after a reset proves that the process still runs. Responses
  // to earlier attempts may have been sent before a crash and prove nothing.
  private clearResetsBefore(startedAt: number): void {
    this.resets = this.resets.filter((reset) => reset.at > startedAt);
    if (this.lostAt <= startedAt) {
      this.lostAt = -Infinity;
    }
  }

  // Late resets of the same crash are attributed to the loss that was already declared.
  private declareLoss(isLoss: boolean, now: number): readonly TrackedAttempt[] {
    if (!isLoss && !this.lost) {
      return [];
    }
    if (!this.lost) {
      this.lostAt = now;
      this.lossId = this.createLossId();
    }
    const suspects = this.resets.map((reset) => reset.attempt);
    this.resets = [];
    return suspects;
  }
}
