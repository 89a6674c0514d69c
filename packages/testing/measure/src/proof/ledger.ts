/**
 * What callers were told in one run, compared with what backend servers executed.
 */
import type * as load from '@dogwoodstall/load';
import type { FleetExecutions } from '../fleet/local-fleet.js';
import type { FaultWindow } from './fault-runner.js';
import type { InvariantBook } from './invariant-book.js';
import { harmlessFaults } from './schedule.js';

// Faults disturb requests for a while after they ended, such as by ejections and broken links.
const AFTERMATH_MILLISECONDS = 2000;

/** One exchange with its times in monotonic milliseconds. */
export type LedgerEntry = load.AttemptObservation;

/** Describes an exchange in one line. */
export function describe(entry: LedgerEntry): string {
  const milliseconds = Math.round(entry.endedAt - entry.startedAt);
  return `${entry.className} at ${entry.target} ended as ${entry.kind} after ${milliseconds} ms, result ${entry.failureCode ?? '-'}, told ${entry.reportedExecution ?? '-'}, request ${entry.requestId ?? '-'}`;
}

/** The exchanges of one run. */
export class Ledger {
  readonly entries: LedgerEntry[] = [];

  /** The last result of each request. */
  readonly outcomes: load.RequestOutcome[] = [];

  readonly recordOutcome = (outcome: load.RequestOutcome): void => {
    this.outcomes.push(outcome);
  };

  /** Takes an exchange of a load that has just ended. */
  readonly record = (attempt: load.AttemptObservation): void => {
    const endedAt = performance.now();
    const startedAt = endedAt - (attempt.endedAt - attempt.startedAt);
    this.entries.push({ ...attempt, startedAt, endedAt });
  };

  /** Invariant 2: an answer that looks complete is complete and the caller's own. */
  checkAnswers(book: InvariantBook): void {
    for (const entry of this.entries) {
      const looksComplete = ['ok', 'late', 'truncated', 'foreign'].includes(entry.kind);
      if (looksComplete) {
        const complete = entry.kind === 'ok' || entry.kind === 'late';
        book.check('answers', complete, () => `${entry.kind} answer: ${describe(entry)}`);
      }
    }
  }

  /**
   * Invariant 3: no execution carries the request id of an exchange that was told "not run". The
   * executions are read after every exchange has ended, so that later ones are found as well.
   */
  checkNotRun(book: InvariantBook, executions: FleetExecutions): void {
    for (const entry of this.entries) {
      if (entry.reportedExecution === 'not-run' && entry.requestId !== undefined) {
        const starts = executions.requests[entry.requestId] ?? 0;
        book.check('not-run', starts === 0, () => `executed ${starts} times: ${describe(entry)}`);
      }
    }
  }

  /** Invariant 4: at most one execution for each key, and none under keys that never ran. */
  checkKeys(book: InvariantBook, executions: FleetExecutions): void {
    const told = this.groupByKey();
    for (const [key, entries] of told) {
      const started = executions.keys[key]?.started ?? 0;
      const servers = executions.keys[key]?.servers.join(', ');
      book.check(
        'at-most-once',
        started <= 1,
        () => `key ${key} was executed ${started} times, at ${servers}`,
      );
      const denied = entries.every((entry) => entry.reportedExecution === 'not-run');
      book.check('not-run', !denied || started === 0, () => `key ${key} was executed`);
    }
  }

  /** Invariant 6: no request that was in flight at a planned stop was interrupted. */
  checkStops(
    book: InvariantBook,
    windows: readonly FaultWindow[],
    balancerMilliseconds: number,
    addressOf: (daemon: string) => string,
  ): void {
    for (const stop of windows.filter(({ fault }) => fault === 'planned-stop')) {
      const isDisturbed = windows.some(
        (other) =>
          !harmlessFaults.has(other.fault) &&
          other.startedAt < stop.endedAt &&
          other.endedAt + AFTERMATH_MILLISECONDS > stop.startedAt,
      );
      if (!isDisturbed) {
        const address = addressOf(stop.target);
        const portClosesAt = stop.startedAt + balancerMilliseconds;
        this.checkStop(book, stop, (entry) => {
          const late = entry.target === address && entry.startedAt > portClosesAt;
          return late && entry.kind === 'no-answer';
        });
      }
    }
  }

  /** Returns the exchanges of each key. */
  groupByKey(): Map<string, LedgerEntry[]> {
    const byKey = new Map<string, LedgerEntry[]>();
    for (const entry of this.entries) {
      if (entry.sentKey !== undefined) {
        const entries = byKey.get(entry.sentKey) ?? [];
        entries.push(entry);
        byKey.set(entry.sentKey, entries);
      }
    }
    return byKey;
  }

  private checkStop(
    book: InvariantBook,
    stop: FaultWindow,
    isExpected: (entry: LedgerEntry) => boolean,
  ): void {
    for (const entry of this.entries) {
      if (entry.startedAt < stop.endedAt && entry.endedAt > stop.startedAt && !isExpected(entry)) {
        const broken = ['cut', 'truncated', 'no-answer'].includes(entry.kind);
        const unknown = entry.kind === 'failure' && entry.reportedExecution === 'not-known';
        book.check('planned-stop', !broken && !unknown, () => {
          const since = Math.round(entry.endedAt - stop.startedAt);
          return `${since} ms after the stop of ${stop.target} began: ${describe(entry)}`;
        });
      }
    }
  }
}
