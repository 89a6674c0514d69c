/**
 * Metrics over StatsD with hot-shots. Without a server address, metrics are discarded and no socket is opened.
 */
import * as hotShots from 'hot-shots';

/** Client that sends metrics. */
export interface Metrics {
  count(name: string, value?: number, tags?: Record<string, string>): void;
  gauge(name: string, value: number, tags?: Record<string, string>): void;
  /** Records a duration in milliseconds. */
  timing(name: string, milliseconds: number, tags?: Record<string, string>): void;
  close(): void;
}

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** IP address of the StatsD server; metrics are disabled if it is undefined. */
  readonly host?: string | undefined;
  readonly port?: number | undefined;
  readonly tags?: Record<string, string>;
}

const NAME_PREFIX = 'dogwoodstall.';
const DEFAULT_PORT = 8125;

const disabledMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
  close: () => {},
};

/** Creates the metrics client of a process. */
export function createMetrics(options: MetricsOptions = {}): Metrics {
  if (options.host === undefined) {
    return disabledMetrics;
  }
  const client = new hotShots.StatsD({
    host: options.host,
    port: options.port ?? DEFAULT_PORT,
    prefix: NAME_PREFIX,
    globalTags: options.tags ?? {},
    maxBufferSize: 1400,
    bufferFlushInterval: 1000,
    // Errors of the metrics socket are ignored: an unavailable StatsD server must not affect requests.
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1, tags = {}) => client.increment(name, value, tags),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tags),
    timing: (name, milliseconds, tags = {}) => client.timing(name, milliseconds, tags),
    close: () => client.close(() => {}),
  };
}
