/**
 * Output of log lines that never holds up the program, fails it or takes its memory. Lines are left out and counted
 * while the destination fails, or while too many bytes wait for its reader.
 */
import { Writable } from 'node:stream';

/** Bytes that wait for a reader that does not read. */
const MAXIMUM_WAITING_BYTES = 2_097_152;
/** Share of these below which the lines that were left out are reported, so that the report is not left out too. */
const REPORTING_SHARE = 0.5;
/** Time after an error until the next line is tried: a full disk or a named pipe may take lines again. */
const RETRY_MILLISECONDS = 2000;

/** Lines that were left out since the last report. */
export interface LinesLeftOut {
  readonly count: number;
  /** The last error of the destination, or that its reader was too slow. */
  readonly reason: string;
}

/** Options of `LogOutput`. */
export interface LogOutputOptions {
  readonly destination: NodeJS.WritableStream;
  /** Called when the destination takes lines again. */
  readonly onResume: (leftOut: LinesLeftOut) => void;
  /** Returns monotonic milliseconds. */
  readonly now?: () => number;
}

/** The output of log lines, with a bound on the lines that wait. */
export class LogOutput {
  /** Takes each line in one write; never waits and never fails. */
  readonly stream = new Writable({
    write: (line: Buffer, _encoding, callback) => {
      if (this.shouldWrite(line.length)) {
        this.forward(line);
      } else {
        this.leftOutCount += 1;
      }
      callback();
    },
  });

  private leftOutCount = 0;

  private reportedCount = 0;

  private reason = '';

  /** Set while the destination fails. */
  private retryAt: number | undefined;

  private readonly now: () => number;

  constructor(private readonly options: LogOutputOptions) {
    this.now = options.now ?? (() => performance.now());
    // Several logs may share the standard error of a process.
    options.destination.setMaxListeners(0);
    options.destination.on('error', (error) => this.suspend(error));
  }

  /** Number of lines that were left out since the start. */
  get leftOut(): number {
    return this.leftOutCount;
  }

  private get waitingBytes(): number {
    return (this.options.destination as Partial<Writable>).writableLength ?? 0;
  }

  private shouldWrite(bytes: number): boolean {
    if (this.retryAt !== undefined) {
      if (this.now() < this.retryAt) {
        return false;
      }
      this.retryAt = this.now() + RETRY_MILLISECONDS;
      return true;
    }
    if (this.waitingBytes + bytes <= MAXIMUM_WAITING_BYTES) {
      return true;
    }
    this.reason = 'the reader is too slow';
    return false;
  }

  private forward(line: Buffer): void {
    const onWritten = (error?: Error | null): void => {
      if (error === undefined || error === null) {
        this.resume();
      } else {
        this.leftOutCount += 1;
        this.suspend(error);
      }
    };
    try {
      this.options.destination.write(line, onWritten);
    } catch (error) {
      onWritten(error instanceof Error ? error : new Error(String(error)));
    }
  }

  private suspend(error: Error): void {
    this.reason = 'code' in error ? String(error.code) : error.message;
    this.retryAt = this.now() + RETRY_MILLISECONDS;
  }

  private resume(): void {
    this.retryAt = undefined;
    const count = this.leftOutCount - this.reportedCount;
    if (count > 0 && this.waitingBytes < MAXIMUM_WAITING_BYTES * REPORTING_SHARE) {
      this.reportedCount = this.leftOutCount;
      this.options.onResume({ count, reason: this.reason });
    }
  }
}
