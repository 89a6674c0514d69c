/**
 * The HTTP gateway for transparent traffic: accepts requests from callers and forwards them to endpoints.
 */
export { type AnswerVerdict, type AttemptFacts, type WireContract } from './wire-protocol.js';
export {
  type GatewayServerOptions,
  type RequestDecision,
  GatewayServer,
} from './gateway-server.js';
export {
  type Slot,
  type SlotAsk,
  type SlotDecision,
  type SlotEnd,
  type SlotRefusalReason,
  type SlotSource,
} from './slots.js';
export { ConnectionPool } from './connection-pool.js';
export { type AttemptResult, sendAttempt } from './attempt.js';
