/**
 * Endpoint health: evidence, outlier ejection, the healthy-capacity floor and slow start.
 */
export type { AttemptOutcome, OutcomeKind, ReportedLoad } from './outcome.js';
export type {
  EjectionEvidence,
  EjectionReason,
  EndpointCondition,
  EndpointHealthSnapshot,
  HealthChange,
} from './change.js';
export type { HealthAttempt } from './endpoint-record.js';
export {
  type AttemptStart,
  type CellHealthOptions,
  type HealthContract,
  CellHealth,
} from './cell-health.js';
export { LatencyHistogram } from './latency-histogram.js';
