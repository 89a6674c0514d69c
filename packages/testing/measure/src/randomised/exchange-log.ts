/**
 * Compares the execution status reported to callers in a run with the executions at backend servers.
 */
import type * as load from '@dogwoodstall/load';
import type { FleetExecutions } from '../fleet/local-fleet.js';
import type { FaultWindow } from './fault-injector.js';
import type { InvariantBook } from './invariant-book.js';
import { nonDisruptiveFaults } from './schedule.js';

// After a fault ends, ejections and broken connections still affect requests for this long.
const FAULT_RECOVERY_MILLISECONDS = 2000;

/** One request and its outcome at the caller, with times in monotonic milliseconds. */
export type ExchangeRecord = load.AttemptObservation;

/** Formats an exchange in one line. */
export function describeExchange(entry: ExchangeRecord): string {
  const milliseconds = Math.round(entry.endedAt - entry.startedAt);
  return `${entry.className} at ${entry.target} ended as ${entry.kind} after ${milliseconds} ms, result ${entry.failureCode ?? '-'}, execution ${entry.reportedExecution ?? '-'}, request ${entry.requestId ?? '-'}`;
}

/** The exchanges of one run. */
export class ExchangeLog {
  readonly entries: ExchangeRecord[] = [];

  /** The final result of each request. */
  readonly outcomes: load.RequestOutcome[] = [];

  readonly recordOutcome = (outcome: load.RequestOutcome): void => {
    this.outcomes.push(outcome);
  };

  /** Records an exchange that has just ended, with its times converted to the monotonic clock of this process. */
  readonly record = (attempt: load.AttemptObservation): void => {
    const endedAt = performance.now();
    const startedAt = endedAt - (attempt.endedAt - attempt.startedAt);
    this.entries.push({ ...attempt, startedAt, endedAt });
  };

  /** Invariant 2: a response that looks complete is complete and belongs to the caller's request. */
  checkResponses(book: InvariantBook): void {
    for (const entry of this.entries) {
      const looksComplete = ['ok', 'late', 'truncated', 'foreign'].includes(entry.kind);
      if (looksComplete) {
        const complete = entry.kind === 'ok' || entry.kind === 'late';
        book.check('answers', complete, () => `${entry.kind} response: ${describeExchange(entry)}`);
      }
    }
  }

  /**
   * Invariant 3: a request that was reported as "not run" was not executed under its request id. The
   * executions are read after every exchange has ended, so that late ones are found as well.
   */
  checkNotRun(book: InvariantBook, executions: FleetExecutions): void {
    for (const entry of this.entries) {
      if (entry.reportedExecution === 'not-run' && entry.requestId !== undefined) {
        const starts = executions.requests[entry.requestId] ?? 0;
        book.check(
          'not-run',
          starts === 0,
          () => `executed ${starts} times: ${describeExchange(entry)}`,
        );
      }
    }
  }

  /** Invariant 4: at most one execution for each key, and none for keys that were always reported as "not run". */
  checkKeys(book: InvariantBook, executions: FleetExecutions): void {
    const entriesByKey = this.groupByKey();
    for (const [key, entries] of entriesByKey) {
      const started = executions.keys[key]?.started ?? 0;
      const servers = executions.keys[key]?.servers.join(', ');
      book.check(
        'at-most-once',
        started <= 1,
        () => `key ${key} was executed ${started} times, at ${servers}`,
      );
      const allNotRun = entries.every((entry) => entry.reportedExecution === 'not-run');
      book.check('not-run', !allNotRun || started === 0, () => `key ${key} was executed`);
    }
  }

  /**
   * Invariant 6: a graceful shutdown interrupts no request in flight. Shutdowns that overlap with a
   * disruptive fault are not checked.
   */
  checkGracefulShutdowns(
    book: InvariantBook,
    windows: readonly FaultWindow[],
    balancerMilliseconds: number,
    addressOf: (daemon: string) => string,
  ): void {
    for (const stop of windows.filter(({ fault }) => fault === 'planned-stop')) {
      const overlapsFault = windows.some(
        (other) =>
          !nonDisruptiveFaults.has(other.fault) &&
          other.startedAt < stop.endedAt &&
          other.endedAt + FAULT_RECOVERY_MILLISECONDS > stop.startedAt,
      );
      if (!overlapsFault) {
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
  groupByKey(): Map<string, ExchangeRecord[]> {
    const byKey = new Map<string, ExchangeRecord[]>();
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
    isExpected: (entry: ExchangeRecord) => boolean,
  ): void {
    for (const entry of this.entries) {
      if (entry.startedAt < stop.endedAt && entry.endedAt > stop.startedAt && !isExpected(entry)) {
        const broken = ['cut', 'truncated', 'no-answer'].includes(entry.kind);
        const unknown = entry.kind === 'failure' && entry.reportedExecution === 'not-known';
        book.check('planned-stop', !broken && !unknown, () => {
          const since = Math.round(entry.endedAt - stop.startedAt);
          return `${since} ms after the shutdown of ${stop.target} started: ${describeExchange(entry)}`;
        });
      }
    }
  }
}
