/**
 * The HTTP gateway for transparent traffic: accepts requests from callers and forwards them to endpoints.
 */
export {
  type AttemptContext,
  type ResponseClassification,
  type WireProtocol,
} from './wire-protocol.js';
export { type GatewayServerOptions, GatewayServer } from './gateway-server.js';
export type { RequestDecision } from './request-processor.js';
export { type UsageDecision, type UsageLimits, noUsageLimits } from './usage-limits.js';
export {
  type RetryBudgets,
  type Slot,
  type SlotAcquireOptions,
  type SlotDecision,
  type SlotReport,
  type SlotRefusalReason,
  type SlotSource,
  unusedReport,
} from './slots.js';
export type { DescriptorEvent } from './connection-limiter.js';
export {
  type ConnectionLimits,
  computeConnectionLimits,
  isDescriptorShortage,
} from './connection-limits.js';
export { connectSocket } from './connect-socket.js';
export { ConnectionPool } from './connection-pool.js';
export { type AttemptResult, sendAttempt } from './attempt.js';
export {
  type HedgeDecision,
  type HedgingOptions,
  type HedgingSettings,
  Hedging,
} from './hedging.js';
export { type HedgeEvent, Hedge } from './hedge.js';
