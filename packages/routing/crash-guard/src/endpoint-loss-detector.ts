/**
 * Recognises the loss of one backend server from the ends of the attempts at it.
 */
import type { Fingerprint } from './fingerprint.js';

/** How an attempt ended, as far as the loss of a server is concerned. */
export type AttemptEnd =
  | 'answered'
  | 'reset'
  /** The connection broke, and the server refused a new one at once: its process is gone. */
  | 'lost'
  | 'refused'
  | 'other';

/** One attempt at a backend server that is in flight. */
export interface GuardedAttempt {
  readonly endpointName: string;
  readonly fingerprint: Fingerprint;
  readonly startedAt: number;
}

interface Reset {
  readonly attempt: GuardedAttempt;
  readonly at: number;
}

/** A crash resets all connections of a server at once; the events arrive within this time. */
const SIMULTANEOUS_RESET_MILLISECONDS = 200;

/** A refused connection so long after a reset shows that the server process is gone. */
const RESET_BEFORE_REFUSAL_MILLISECONDS = 3000;

const RESETS_OF_A_LOSS = 2;

/** The resets at one endpoint, and its loss. */
export class EndpointLosses {
  /** Time of the loss; minus infinity while the server answers. */
  lostAt = -Infinity;

  lossName = '';

  private resets: Reset[] = [];

  constructor(private readonly nameLoss: () => string) {}

  /** Whether the server was lost and has not answered since. */
  get lost(): boolean {
    return this.lostAt > -Infinity;
  }

  /** Registers the end of an attempt; returns the attempts that are suspected of the loss. */
  addEnd(attempt: GuardedAttempt, end: AttemptEnd, now: number): readonly GuardedAttempt[] {
    if (end === 'answered') {
      this.clearBefore(attempt.startedAt);
    } else if (end === 'reset') {
      this.resets.push({ attempt, at: now });
      this.keepRecentResets(now);
      return this.declareLoss(this.resets.length >= RESETS_OF_A_LOSS, now);
    } else if (end === 'lost') {
      this.resets.push({ attempt, at: now });
      this.keepRecentResets(now);
      return this.declareLoss(true, now);
    } else if (end === 'refused') {
      this.keepRecentResets(now);
      return this.declareLoss(this.resets.length > 0, now);
    }
    return [];
  }

  // Only the resets that came together with the latest one were in flight at the same moment.
  private keepRecentResets(now: number): void {
    const latestAt = this.resets.at(-1)?.at ?? -Infinity;
    const expired = now - latestAt > RESET_BEFORE_REFUSAL_MILLISECONDS;
    const after = latestAt - SIMULTANEOUS_RESET_MILLISECONDS;
    this.resets = expired ? [] : this.resets.filter((reset) => reset.at >= after);
  }

  // An answer to an attempt that began after a reset proves that the process still runs. Answers
  // that overtook the resets of a crash prove nothing.
  private clearBefore(startedAt: number): void {
    this.resets = this.resets.filter((reset) => reset.at > startedAt);
    if (this.lostAt <= startedAt) {
      this.lostAt = -Infinity;
    }
  }

  // Late resets of the same crash join the loss that was declared already.
  private declareLoss(found: boolean, now: number): readonly GuardedAttempt[] {
    if (!found && !this.lost) {
      return [];
    }
    if (!this.lost) {
      this.lostAt = now;
      this.lossName = this.nameLoss();
    }
    const suspects = this.resets.map((reset) => reset.attempt);
    this.resets = [];
    return suspects;
  }
}
