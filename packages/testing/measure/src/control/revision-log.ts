/**
 * When all daemons of a fleet put each revision in force.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { DaemonLog } from './daemon-log.js';

// The lines of a daemon are kept in small number; they are read before they are dropped.
const READ_INTERVAL_MILLISECONDS = 200;

/** How a change came into force. */
export interface RevisionPropagation {
  /** Milliseconds from the acceptance for each daemon that ran at that time, by zone. */
  readonly byZone: ReadonlyMap<string, readonly number[]>;
  /** Daemons that ran from then to the end and never had it in force. */
  readonly missing: readonly string[];
}

/** Reads the logs of all daemons of a fleet until it is stopped. */
export class RevisionLog {
  private readonly logs: readonly DaemonLog[];

  private running = true;

  private readonly task: Promise<void>;

  constructor(daemons: readonly DaemonProcess[]) {
    this.logs = daemons.map((daemon) => new DaemonLog(daemon));
    this.task = this.run();
  }

  /** Notes that the process of a daemon is about to end. */
  recordExit(daemon: DaemonProcess): void {
    const log = this.logs.find((entry) => entry.daemon === daemon);
    log?.read();
    log?.recordExit();
  }

  async stop(): Promise<void> {
    this.running = false;
    await this.task;
    this.readAll();
  }

  /** Returns how a revision came into force that was accepted at a time. */
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

  /** Returns how many times a daemon had a lower revision than before, also after a restart. */
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

  /** Returns the lowest of the revisions in force now. */
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
    this.logs.forEach((log) => log.read());
  }
}
