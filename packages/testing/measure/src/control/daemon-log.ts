/**
 * When one daemon put each revision in force, read from the lines of its log.
 */
import type { DaemonProcess } from '../fleet/daemon-process.js';

const LINE = /^(\S+) info configuration: configuration revision is in force .*\brevision=(\d+)/;

/** One revision that came into force in one daemon process. */
export interface Activation {
  readonly revision: number;
  /** Epoch milliseconds of the log line. */
  readonly at: number;
}

/** One process of a daemon. */
export interface ProcessLog {
  readonly startedAt: number;
  endedAt: number;
  readonly entries: Activation[];
}

/** One daemon whose log is read. */
export class DaemonLog {
  readonly processes: ProcessLog[] = [];

  private processId: number | undefined;

  constructor(readonly daemon: DaemonProcess) {}

  /** Takes in the lines that are new. */
  read(): void {
    if (this.daemon.processId !== this.processId || this.processes.length === 0) {
      this.processId = this.daemon.processId;
      this.recordExit();
      this.processes.push({ startedAt: Date.now(), endedAt: Infinity, entries: [] });
    }
    const { entries } = this.processes.at(-1)!;
    const last = entries.at(-1);
    for (const line of this.daemon.output.split('\n')) {
      const [, time, revision] = LINE.exec(line) ?? [];
      if (time !== undefined) {
        const entry = { revision: Number(revision), at: Date.parse(time) };
        const isNew = last === undefined || entry.at > last.at || entry.revision > last.revision;
        if (isNew && !entries.some((known) => known.revision === entry.revision)) {
          entries.push(entry);
        }
      }
    }
  }

  /** Notes that the process ends now. */
  recordExit(): void {
    const process = this.processes.at(-1);
    if (process?.endedAt === Infinity) {
      process.endedAt = Date.now();
    }
  }
}
