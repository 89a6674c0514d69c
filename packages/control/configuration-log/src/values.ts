/**
 * Schemas and parsing of the values that the configuration log stores.
 */
import * as model from '@dogwoodstall/model';
import { FailureError } from '@dogwoodstall/results';
import type * as storeClient from '@dogwoodstall/store-client';
import * as zod from 'zod';

/** The list of parts of a snapshot. */
export const snapshotListSchema = zod.strictObject({
  revision: zod.number().int().min(1),
  parts: zod.array(zod.string()),
});

/** One part of a snapshot. */
export const snapshotPartSchema = zod.array(model.operationSchema);

/** The list of parts of a snapshot. */
export type SnapshotList = zod.infer<typeof snapshotListSchema>;

/** Parses a value; throws `StoreValueInvalid` if it does not match the schema. */
export function parseValue<Schema extends zod.ZodType>(
  schema: Schema,
  entry: storeClient.StoreEntry,
): zod.infer<Schema> {
  try {
    return schema.parse(JSON.parse(entry.value));
  } catch (error) {
    throw new FailureError('StoreValueInvalid', `the value of ${entry.key} is invalid`, {
      cause: error,
    });
  }
}
