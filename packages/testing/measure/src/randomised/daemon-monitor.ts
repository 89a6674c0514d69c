/**
 * Monitors every daemon during a run: its log, unexpected exits, configuration revision and cells.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type * as dispatch from '@dogwoodstall/dispatch';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { callAdministration } from './administration.js';
import type { InvariantBook, InvariantName } from './invariant-book.js';
import type { AcceptedChange } from './operators.js';

const POLL_MILLISECONDS = 300;
/** Time within which an accepted change must be active on every connected daemon. */
const ACTIVATION_LIMIT_MILLISECONDS = 7000;
/** Share of a cell's slots that ejection must leave in use. */
const FLOOR_SHARE = 0.5;

const invariantByResult: Readonly<Record<string, InvariantName>> = {
  FloorViolated: 'floor',
  AnswerMixedUp: 'answers',
  ExecutedAfterNotRun: 'not-run',
  ExecutedTwice: 'at-most-once',
  WorkAfterDrain: 'drain',
  RequestCutByStop: 'planned-stop',
  RevisionReverted: 'configuration',
};

/** Fields of a daemon's status that are checked. */
interface CheckedStatus {
  readonly incarnation: number;
  readonly revision?: number;
  readonly cells: readonly dispatch.CellSnapshot[];
}

/** Options of `DaemonMonitor`. */
export interface DaemonMonitorOptions {
  readonly daemons: readonly DaemonProcess[];
  readonly book: InvariantBook;
  /** Daemons that the run itself has killed or shut down. */
  readonly intentionallyStopped: ReadonlySet<string>;
  readonly accepted: readonly AcceptedChange[];
  /** Monotonic time at which the last isolating fault ended; undefined while one is active. */
  readonly connectedSince: () => number | undefined;
}

/** Records unexpected failures and invariant violations that a daemon reports in a line of its log. */
export function checkLogLine(book: InvariantBook, daemon: string, line: string): void {
  if (line.includes('request failed unexpectedly')) {
    book.report('process', `${daemon}: ${line}`);
  }
  if (line.includes(' invariant: invariant violated')) {
    const name = /kind="(\w+)"/.exec(line)?.[1] ?? '';
    book.report(invariantByResult[name] ?? 'process', `logged by ${daemon}: ${line}`);
  }
}

/** Returns the slots of a cell on endpoints that are not ejected, and the minimum that the floor requires. */
export function computeCellCapacity(cell: dispatch.CellSnapshot): {
  usable: number;
  required: number;
} {
  const counted = cell.endpoints.filter((endpoint) => !endpoint.draining);
  const usable = counted.filter(({ health }) => health?.condition !== 'ejected');
  const sum = (endpoints: readonly dispatch.EndpointSnapshot[]): number =>
    endpoints.reduce((slots, endpoint) => slots + endpoint.slots, 0);
  return { usable: sum(usable), required: sum(counted) * FLOOR_SHARE };
}

/** Polls daemons and checks their status against the invariants. */
export class DaemonMonitor {
  private readonly revisions = new Map<string, number>();

  private readonly incarnations = new Map<string, number>();

  private readonly reportedExits = new Set<string>();

  private stopped = false;

  private loops: Promise<void>[] = [];

  constructor(private readonly options: DaemonMonitorOptions) {}

  start(): void {
    this.loops = this.options.daemons.map((daemon) => this.pollRepeatedly(daemon));
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  /** Returns the last revision that a daemon reported, or 0. */
  revisionOf(daemon: string): number {
    return this.revisions.get(daemon) ?? 0;
  }

  /** Polls one daemon once. */
  async poll(daemon: DaemonProcess): Promise<void> {
    this.checkExit(daemon);
    const askedAt = performance.now();
    const response = await callAdministration(daemon, 'GET', '/v1/daemon');
    if (response?.status === 200) {
      const status = response.body as CheckedStatus;
      this.checkRevision(daemon.name, status, askedAt);
      this.checkFloors(daemon.name, status);
    }
  }

  private async pollRepeatedly(daemon: DaemonProcess): Promise<void> {
    while (!this.stopped) {
      await this.poll(daemon);
      await sleep(POLL_MILLISECONDS);
    }
  }

  private checkExit(daemon: DaemonProcess): void {
    const { book, intentionallyStopped } = this.options;
    const ended = daemon.exitStatus !== undefined && !intentionallyStopped.has(daemon.name);
    if (!ended) {
      this.reportedExits.delete(daemon.name);
    }
    if (!this.reportedExits.has(daemon.name)) {
      const tail = daemon.output.slice(-600);
      book.check('process', !ended, () => `${daemon.name} exited unexpectedly: ${tail}`);
    }
    if (ended) {
      this.reportedExits.add(daemon.name);
    }
  }

  private checkRevision(daemon: string, status: CheckedStatus, askedAt: number): void {
    const { book } = this.options;
    const revision = status.revision ?? 0;
    const previous = this.revisions.get(daemon) ?? 0;
    // A new process starts without a configuration, and the first one it loads may not be the newest.
    if (this.incarnations.get(daemon) === status.incarnation) {
      book.check(
        'configuration',
        revision >= previous,
        () => `${daemon} went from revision ${previous} back to ${revision}`,
      );
    }
    this.incarnations.set(daemon, status.incarnation);
    this.revisions.set(daemon, revision);
    const required = this.requiredRevision(askedAt);
    if (required !== undefined) {
      book.check(
        'configuration',
        revision >= required,
        () => `${daemon} has revision ${revision}, revision ${required} was accepted 7 s before`,
      );
    }
  }

  private requiredRevision(at: number): number | undefined {
    const { accepted, connectedSince } = this.options;
    const since = connectedSince();
    if (since === undefined || at - since < ACTIVATION_LIMIT_MILLISECONDS) {
      return undefined;
    }
    const due = accepted.filter(
      (change) => change.acceptedAt + ACTIVATION_LIMIT_MILLISECONDS <= at,
    );
    return due.length === 0 ? undefined : Math.max(...due.map(({ revision }) => revision));
  }

  private checkFloors(daemon: string, status: CheckedStatus): void {
    for (const cell of status.cells) {
      const { usable, required } = computeCellCapacity(cell);
      this.options.book.check(
        'floor',
        usable >= required,
        () => `${daemon} uses ${usable} slots of ${cell.name}, the floor is ${required}`,
      );
    }
  }
}
