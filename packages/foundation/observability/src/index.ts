/**
 * Structured logs with a logger for each component, sampled logs of routing decisions, and metrics.
 */
export {
  type LogFields,
  type LogOptions,
  type LogComponent,
  type ComponentLogger,
  ProcessLog,
  createSilentLog,
} from './logger.js';
export { type LinesLeftOut, type LogOutputOptions, LogOutput } from './log-output.js';
export { ChangeFilter } from './change-filter.js';
export { type Metrics, type MetricsOptions, createMetrics } from './metrics.js';
