/**
 * Idempotency keys, records of executions, replay and hand-over.
 */
export {
  type KeyContents,
  type KeyIssuerOptions,
  type KeyRequest,
  KeyIssuer,
  checkKeyOwner,
  digestOrganisation,
} from './key-issuer.js';
export {
  type HandOverOptions,
  type HandOverPeer,
  type HandOverResult,
  HandOver,
} from './hand-over.js';
export { type ExecutionPermit } from './permit.js';
export {
  type HomeAnswer,
  type KeyAttempt,
  type KeyHomeOptions,
  type KeyUse,
  KeyHome,
} from './key-home.js';
export {
  type ActivateRecords,
  type CompleteRecord,
  type InstallRecords,
  type KeyRecord,
  type RecordedAnswer,
  type RecordState,
  activateRecordsSchema,
  completeRecordSchema,
  installRecordsSchema,
  keyRecordSchema,
  recordStateSchema,
  recordedAnswerSchema,
} from './record.js';
