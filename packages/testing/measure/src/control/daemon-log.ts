/**
 * The times at which one daemon activated each revision, read from its log lines.
 */
import type { DaemonProcess } from '../fleet/daemon-process.js';

const ACTIVATION_LINE =
  /^(\S+) info configuration: configuration revision is in force .*\brevision=(\d+)/;

/** The activation of one revision in one daemon process. */
export interface Activation {
  readonly revision: number;
  /** Epoch milliseconds of the log line. */
  readonly at: number;
}

/** The log of one process of a daemon; `endedAt` is `Infinity` while the process runs. */
export interface ProcessLog {
  readonly startedAt: number;
  endedAt: number;
  readonly entries: Activation[];
}

/** Reads the log of one daemon across restarts. */
export class DaemonLog {
  readonly processes: ProcessLog[] = [];

  private processId: number | undefined;

  constructor(readonly daemon: DaemonProcess) {}

  /** Adds the activations that were logged since the last call. */
  readNewLines(): void {
    if (this.daemon.processId !== this.processId || this.processes.length === 0) {
      this.processId = this.daemon.processId;
      this.recordExit();
      this.processes.push({ startedAt: Date.now(), endedAt: Infinity, entries: [] });
    }
    const { entries } = this.processes.at(-1)!;
    const last = entries.at(-1);
    for (const line of this.daemon.output.split('\n')) {
      const [, time, revision] = ACTIVATION_LINE.exec(line) ?? [];
      if (time !== undefined) {
        const entry = { revision: Number(revision), at: Date.parse(time) };
        const isNew = last === undefined || entry.at > last.at || entry.revision > last.revision;
        if (isNew && !entries.some((known) => known.revision === entry.revision)) {
          entries.push(entry);
        }
      }
    }
  }

  /** Records that the current process ends now. */
  recordExit(): void {
    const process = this.processes.at(-1);
    if (process?.endedAt === Infinity) {
      process.endedAt = Date.now();
    }
  }
}
