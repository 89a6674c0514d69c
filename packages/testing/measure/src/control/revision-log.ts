/**
 * The times at which all daemons of a fleet activated each revision.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { DaemonLog } from './daemon-log.js';

// Only a few of the latest lines of a daemon are kept, so they are read before newer ones replace them.
const READ_INTERVAL_MILLISECONDS = 200;

/** The propagation of one revision through the fleet. */
export interface RevisionPropagation {
  /** Milliseconds from acceptance to activation, by zone, for each daemon that ran at acceptance. */
  readonly byZone: ReadonlyMap<string, readonly number[]>;
  /** Daemons that ran from the acceptance to the end and never activated the revision. */
  readonly missing: readonly string[];
}

/** Reads the logs of all daemons of a fleet until it is stopped. */
export class RevisionLog {
  private readonly logs: readonly DaemonLog[];

  private running = true;

  private readonly readLoop: Promise<void>;

  constructor(daemons: readonly DaemonProcess[]) {
    this.logs = daemons.map((daemon) => new DaemonLog(daemon));
    this.readLoop = this.run();
  }

  /** Reads the remaining lines of a daemon and records that its process is about to end. */
  recordExit(daemon: DaemonProcess): void {
    const log = this.logs.find((entry) => entry.daemon === daemon);
    log?.readNewLines();
    log?.recordExit();
  }

  async stop(): Promise<void> {
    this.running = false;
    await this.readLoop;
    this.readAll();
  }

  /** Returns how a revision that was accepted at a time propagated through the fleet. */
  findPropagation(revision: number, acceptedAt: number): RevisionPropagation {
    const byZone = new Map<string, number[]>();
    const missing: string[] = [];
    for (const { daemon, processes } of this.logs) {
      const process = processes.find(
        ({ startedAt, endedAt }) => startedAt <= acceptedAt && endedAt > acceptedAt,
      );
      const entry = process?.entries.find((candidate) => candidate.revision >= revision);
      if (process !== undefined && entry === undefined && process.endedAt === Infinity) {
        missing.push(daemon.name);
      } else if (entry !== undefined) {
        const times = byZone.get(daemon.zone) ?? [];
        times.push(Math.max(0, entry.at - acceptedAt));
        byZone.set(daemon.zone, times);
      }
    }
    return { byZone, missing };
  }

  /** Returns how often a daemon activated a lower revision than before, also across restarts. */
  countReversions(): number {
    let reversions = 0;
    for (const { processes } of this.logs) {
      let highest = 0;
      for (const { entries } of processes) {
        for (const { revision } of entries) {
          reversions += revision < highest ? 1 : 0;
          highest = Math.max(highest, revision);
        }
      }
    }
    return reversions;
  }

  /** Returns the lowest active revision of all daemons. */
  getLowestRevision(): number {
    this.readAll();
    const revisions = this.logs.map(({ processes }) => {
      const entries = processes.at(-1)?.entries ?? [];
      return entries.at(-1)?.revision ?? 0;
    });
    return Math.min(...revisions);
  }

  private async run(): Promise<void> {
    while (this.running) {
      this.readAll();
      await delay(READ_INTERVAL_MILLISECONDS);
    }
  }

  private readAll(): void {
    this.logs.forEach((log) => log.readNewLines());
  }
}
