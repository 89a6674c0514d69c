/**
 * Structured logs with a prefix per part, the decision log, and metrics.
 */
export {
  type LogFields,
  type LogOptions,
  type LogComponent,
  type ComponentLogger,
  ProcessLog,
  createSilentLog,
} from './logger.js';
export { type Metrics, type MetricsOptions, createMetrics } from './metrics.js';
