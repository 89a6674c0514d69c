/**
 * Idempotency keys, records of executions, replay of recorded responses and transfer of records.
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
  type RecordTransferOptions,
  type RecordTransferPeer,
  type RecordTransferResult,
  RecordTransfer,
} from './record-transfer.js';
export { type ExecutionPermit } from './permit.js';
export {
  type KeyUseResult,
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
  type RecordedResponse,
  type RecordState,
  activateRecordsSchema,
  completeRecordSchema,
  installRecordsSchema,
  keyRecordSchema,
  recordStateSchema,
  recordedResponseSchema,
} from './record.js';
