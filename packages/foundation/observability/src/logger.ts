/**
 * Structured logs on winston. Each part of the program has a fixed prefix, and each line is one short
 * sentence with its facts as fields.
 */
import * as winston from 'winston';

/** The parts that write log lines; the name is the prefix of the line. */
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

/** Writes the log lines of one part. */
export interface ComponentLogger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** Writes the line of one routing or placement decision. */
  decision(message: string, fields?: LogFields): void;
}

/** Level, format and destination of the log of one process. */
export interface LogOptions {
  readonly level: 'error' | 'warn' | 'info' | 'debug' | 'silent';
  readonly format: 'json' | 'text';
  /** Share of the decision lines that are written, 0 to 1. */
  readonly decisionShare: number;
  /** Fields of every line, such as the daemon's name. */
  readonly fields?: LogFields;
  /** Where lines go; standard error by default. */
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

/** The log of one process; gives each part its own logger. */
export class ProcessLog {
  private readonly logger: winston.Logger;

  private readonly decisionShare: number;

  private decisionCredit = 0;

  constructor(options: LogOptions) {
    this.decisionShare = options.decisionShare;
    this.logger = winston.createLogger({
      level: options.level === 'silent' ? 'error' : options.level,
      silent: options.level === 'silent',
      format: createFormat(options.format),
      defaultMeta: options.fields ?? {},
      transports: [new winston.transports.Stream({ stream: options.stream ?? process.stderr })],
    });
  }

  /** Returns the logger of a part. */
  getLogger(part: LogComponent): ComponentLogger {
    return {
      error: (message, fields) => this.logger.error(message, { part, ...fields }),
      warn: (message, fields) => this.logger.warn(message, { part, ...fields }),
      info: (message, fields) => this.logger.info(message, { part, ...fields }),
      debug: (message, fields) => this.logger.debug(message, { part, ...fields }),
      decision: (message, fields) => {
        if (this.shouldLogDecision()) {
          this.logger.info(message, { part, ...fields, decision: true });
        }
      },
    };
  }

  // Evenly spaced sampling keeps the share exact without random numbers on the request path.
  private shouldLogDecision(): boolean {
    this.decisionCredit += this.decisionShare;
    if (this.decisionCredit < 1) {
      return false;
    }
    this.decisionCredit -= 1;
    return true;
  }
}

/** Creates a log that writes nothing, for tests and tools. */
export function createSilentLog(): ProcessLog {
  return new ProcessLog({ level: 'silent', format: 'json', decisionShare: 0 });
}
