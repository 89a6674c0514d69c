/**
 * The HTTP administration API for operators and, within their own organisation, administrators.
 */
export { AdministrationApi } from './administration-api.js';
export type { ErrorBody } from './response-error.js';
export type { EntityDifference } from './difference.js';
export type { HistoryPage } from './history.js';
export type {
  AdministrationOptions,
  Credentials,
  DaemonStatus,
  FleetStatus,
  RequestExplanation,
  ZoneStatus,
} from './options.js';
export { digestToken } from './principal.js';
export type { SubmissionResult, Preview } from './change-submitter.js';
