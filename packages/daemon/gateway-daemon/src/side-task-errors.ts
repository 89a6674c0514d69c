/**
 * Errors of tasks that no request waits for: timers, probes, servers, the output of the log. Each is logged with its
 * stack and counted, and the daemon goes on.
 */
import type * as net from 'node:net';
import type * as observability from '@dogwoodstall/observability';
import { TokenBucket } from './token-bucket.js';

/** An error that repeats without end must not fill the log. */
const LINES_PER_SECOND = 1;

/** The tasks, as they appear in the log and the metrics. */
export type SideTask =
  | 'crash-record'
  | 'registration'
  | 'endpoint-path'
  | 'metrics-request'
  | 'server'
  | 'slot-report'
  | 'standard-error'
  | 'state-request'
  | 'unhandled-exception'
  | 'unhandled-rejection';

/** Returns the stack of an error, or the text of any other thrown value; never throws. */
function describe(error: unknown): string {
  try {
    return error instanceof Error ? (error.stack ?? error.message) : String(error);
  } catch {
    return 'the thrown value has no text';
  }
}

/** Logs and counts the errors of one process. */
export class SideTaskErrors {
  private readonly countByTask = new Map<SideTask, number>();

  private readonly bucket: TokenBucket;

  private leftOut = 0;

  constructor(
    private readonly logger: Pick<observability.ComponentLogger, 'error'>,
    now: () => number = () => performance.now(),
  ) {
    this.bucket = new TokenBucket(LINES_PER_SECOND, now);
  }

  /** Number of errors since the start, by task. */
  get counts(): ReadonlyMap<SideTask, number> {
    return this.countByTask;
  }

  /** Records an error; `fields` say what it concerns. Never throws. */
  record(task: SideTask, error: unknown, fields: observability.LogFields = {}): void {
    this.countByTask.set(task, (this.countByTask.get(task) ?? 0) + 1);
    if (!this.bucket.take()) {
      this.leftOut += 1;
      return;
    }
    const { leftOut } = this;
    this.leftOut = 0;
    try {
      this.logger.error('side task failed', { task, ...fields, reason: describe(error), leftOut });
    } catch {
      // The log itself fails; the counts are in the metrics.
      this.leftOut = leftOut + 1;
    }
  }

  /** Records the errors of a server while it listens; those of binding its port belong to the caller of `listen`. */
  watchServer(server: net.Server, name: string): void {
    server.on('error', (error) => {
      if (server.listening) {
        this.record('server', error, { server: name });
      }
    });
  }
}
