/**
 * Structured logging with winston. Each line has the name of its component, a short fixed message, and all variable
 * data in fields.
 */
import * as winston from 'winston';
import { LogOutput } from './log-output.js';

/** The components of the program that write logs; the name is written as the field `part`. */
export type LogComponent =
  | 'administration'
  | 'configuration'
  | 'daemon'
  | 'directory'
  | 'dispatch'
  | 'entry'
  | 'health'
  | 'idempotency'
  | 'invariant'
  | 'membership'
  | 'peer'
  | 'store';

/** The fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger of one component. */
export interface ComponentLogger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** Logs a routing or placement decision; only the configured share of them is written. */
  decision(message: string, fields?: LogFields): void;
}

/** Options of `ProcessLog`. */
export interface LogOptions {
  readonly level: 'error' | 'warn' | 'info' | 'debug' | 'silent';
  readonly format: 'json' | 'text';
  /** Share of the decisions that are written, 0 to 1. */
  readonly decisionShare: number;
  /** Fields that are added to every line, such as the name of the daemon. */
  readonly fields?: LogFields;
  /** Destination of the log; standard error by default. */
  readonly stream?: NodeJS.WritableStream;
}

function createFormat(format: LogOptions['format']): winston.Logform.Format {
  if (format === 'json') {
    return winston.format.combine(winston.format.timestamp(), winston.format.json());
  }
  return winston.format.combine(
    winston.format.timestamp(),
    winston.format.printf(({ timestamp, level, part, message, ...fields }) => {
      const suffix = Object.entries(fields)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
        .join(' ');
      return `${String(timestamp)} ${level} ${String(part)}: ${String(message)} ${suffix}`.trimEnd();
    }),
  );
}

/** The log of one process, from which each component gets its logger. */
export class ProcessLog {
  private readonly logger: winston.Logger;

  private readonly output: LogOutput;

  private readonly decisionShare: number;

  private decisionCredit = 0;

  constructor(options: LogOptions) {
    this.decisionShare = options.decisionShare;
    this.output = new LogOutput({
      destination: options.stream ?? process.stderr,
      onResume: ({ count, reason }) =>
        this.getLogger('daemon').warn('log lines were left out', { count, reason }),
    });
    this.logger = winston.createLogger({
      level: options.level === 'silent' ? 'error' : options.level,
      silent: options.level === 'silent',
      format: createFormat(options.format),
      defaultMeta: options.fields ?? {},
      transports: [new winston.transports.Stream({ stream: this.output.stream })],
    });
  }

  /** Number of lines that the output did not take; they are reported when it takes lines again. */
  get linesLeftOut(): number {
    return this.output.leftOut;
  }

  /** Returns the logger of a component. */
  getLogger(component: LogComponent): ComponentLogger {
    return {
      error: (message, fields) => this.logger.error(message, { part: component, ...fields }),
      warn: (message, fields) => this.logger.warn(message, { part: component, ...fields }),
      info: (message, fields) => this.logger.info(message, { part: component, ...fields }),
      debug: (message, fields) => this.logger.debug(message, { part: component, ...fields }),
      decision: (message, fields) => {
        if (this.shouldLogDecision()) {
          this.logger.info(message, { part: component, ...fields, decision: true });
        }
      },
    };
  }

  // Samples at even intervals: the share is exact, and the request path needs no random numbers.
  private shouldLogDecision(): boolean {
    this.decisionCredit += this.decisionShare;
    if (this.decisionCredit < 1) {
      return false;
    }
    this.decisionCredit -= 1;
    return true;
  }
}

/** Creates a log that discards all lines, for tests and tools. */
export function createSilentLog(): ProcessLog {
  return new ProcessLog({ level: 'silent', format: 'json', decisionShare: 0 });
}
