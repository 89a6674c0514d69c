/**
 * Dispatching of requests to endpoint slots: partitions a service into cells and grants the slots of each cell.
 */
export { type FleetAnnouncement } from './announced-state.js';
export { type Decision, type CellDispatcherOptions, CellDispatcher } from './cell-dispatcher.js';
export type { UnusedEndpoint } from './endpoint-reports.js';
export {
  type Cell,
  findServiceOfCell,
  partitionIntoCells,
  selectEndpointsOfCell,
} from './cells.js';
export {
  type CrashRecord,
  CrashRecords,
  type ResetAttempt,
  WEIGHT_TO_REFUSE,
  computeCrashWeight,
  mergeCrashRecords,
} from './crash-records.js';
export { type SlotRequest } from './slot-request.js';
export { type AttemptResult } from './endpoint-state.js';
export {
  EntryRetryBudget,
  type RetryBudgetShare,
  type RetryBudgetState,
} from './entry-retry-budget.js';
export { type RetryBudget, computeRetryBudgetShare } from './retry-budget-shares.js';
export type { AnnouncementChange, RelayedAnnouncement } from './cell-announcements.js';
export {
  type UsageAdmission,
  type UsageAgentOptions,
  USAGE_TICK_MILLISECONDS,
  UsageAgent,
} from './usage-agent.js';
export {
  type UsageLimit,
  type UsageTolerance,
  computeLendingLimit,
  computeOwnAllowance,
} from './usage-limit.js';
export type { PledgeContent, PledgePurpose, UsageMessage } from './usage-messages.js';
