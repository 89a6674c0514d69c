/**
 * Records of executions, and the messages that transfer them between daemons at a graceful shutdown.
 */
import * as zod from 'zod';

const MAXIMUM_HEADER_PAIRS = 200;
const MAXIMUM_BODY_CHARACTERS = 1_500_000;
const MAXIMUM_RECORDS_PER_MESSAGE = 5000;

/** A response that is stored for resends; the body is in base64. */
export const recordedResponseSchema = zod.strictObject({
  status: zod.number().int().min(200).max(599),
  headers: zod.array(zod.tuple([zod.string(), zod.string()])).max(MAXIMUM_HEADER_PAIRS),
  body: zod.string().max(MAXIMUM_BODY_CHARACTERS),
});

/** State of the execution of a key. */
export const recordStateSchema = zod.enum(['running', 'ran', 'not-run', 'not-known']);

/** The execution record of one key. */
export const keyRecordSchema = zod.strictObject({
  id: zod.string().min(1).max(512),
  fingerprint: zod.string().max(200),
  state: recordStateSchema,
  /** Incarnation of the daemon that runs the latest attempt. */
  runningAt: zod.string().max(200),
  expiresAtEpochMilliseconds: zod.number(),
  /** The response to a request that ran; absent when it was not stored. */
  answer: recordedResponseSchema.optional(),
});

const origin = zod.string().min(1).max(200);
const epoch = zod.number().int().min(1);

/** First step of a transfer; may be repeated and split into several messages. */
export const installRecordsSchema = zod.strictObject({
  origin,
  epoch,
  records: zod.array(keyRecordSchema).max(MAXIMUM_RECORDS_PER_MESSAGE),
});

/** Second step of a transfer, after all records are installed. */
export const activateRecordsSchema = zod.strictObject({
  origin,
  epoch,
  /** Number of records that must have been installed. */
  recordCount: zod.number().int().min(0),
});

/** The final state of a record that was transferred as running. */
export const completeRecordSchema = zod.strictObject({ origin, epoch, record: keyRecordSchema });

export type RecordedResponse = zod.infer<typeof recordedResponseSchema>;
export type RecordState = zod.infer<typeof recordStateSchema>;
export type KeyRecord = zod.infer<typeof keyRecordSchema>;
export type InstallRecords = zod.infer<typeof installRecordsSchema>;
export type ActivateRecords = zod.infer<typeof activateRecordsSchema>;
export type CompleteRecord = zod.infer<typeof completeRecordSchema>;
