/**
 * Messages of the etcd v3 JSON gateway that the store stand-in supports. The gateway encodes 64-bit
 * integers as strings and omits fields that have their default value.
 */
import * as zod from 'zod';
import type { KeyEvent, StoredKey } from './write-batch.js';

const base64 = zod
  .string()
  .default('')
  .transform((text) => Buffer.from(text, 'base64'));
const base64Key = base64.transform((bytes) => bytes.toString('latin1'));
const integer = zod
  .union([zod.string().regex(/^-?\d+$/), zod.number().int()])
  .default('0')
  .transform(String);
const count = integer.transform(Number);

export const rangeSchema = zod.object({
  key: base64Key,
  range_end: base64Key,
  limit: count,
  sort_order: zod.enum(['NONE', 'ASCEND', 'DESCEND']).default('NONE'),
  keys_only: zod.boolean().default(false),
  count_only: zod.boolean().default(false),
});

export const putSchema = zod.object({ key: base64Key, value: base64, lease: integer });

export const deleteRangeSchema = zod.object({ key: base64Key, range_end: base64Key });

const compareSchema = zod.object({
  key: base64Key,
  target: zod.enum(['VERSION', 'CREATE', 'MOD', 'VALUE', 'LEASE']).default('VERSION'),
  result: zod.enum(['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL']).default('EQUAL'),
  version: count,
  create_revision: count,
  mod_revision: count,
  lease: integer,
  value: base64,
});

const operationSchema = zod.object({
  request_range: rangeSchema.optional(),
  request_put: putSchema.optional(),
  request_delete_range: deleteRangeSchema.optional(),
});

export const transactionSchema = zod.object({
  compare: zod.array(compareSchema).default([]),
  success: zod.array(operationSchema).default([]),
  failure: zod.array(operationSchema).default([]),
});

export const leaseGrantSchema = zod.object({ TTL: count, ID: integer });

export const leaseSchema = zod.object({ ID: integer });

export const watchSchema = zod.object({
  create_request: zod.object({ key: base64Key, range_end: base64Key, start_revision: count }),
});

export type RangeRequest = zod.output<typeof rangeSchema>;
export type PutRequest = zod.output<typeof putSchema>;
export type DeleteRangeRequest = zod.output<typeof deleteRangeSchema>;
export type Comparison = zod.output<typeof compareSchema>;
export type TransactionOperation = zod.output<typeof operationSchema>;
export type TransactionRequest = zod.output<typeof transactionSchema>;
export type WatchRequest = zod.output<typeof watchSchema>['create_request'];

/** Returns a copy of a message without the fields that have their default value. */
export function omitDefaults(message: Record<string, unknown>): Record<string, unknown> {
  const withoutDefaults: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(message)) {
    const isDefault = value === false || value === '' || value === '0' || value === undefined;
    const isEmpty = Array.isArray(value) && value.length === 0;
    if (!isDefault && !isEmpty) {
      withoutDefaults[name] = value;
    }
  }
  return withoutDefaults;
}

/** Formats a key as the gateway encodes it. */
export function formatKey(stored: StoredKey, withValue = true): Record<string, unknown> {
  return omitDefaults({
    key: Buffer.from(stored.key, 'latin1').toString('base64'),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    version: String(stored.version),
    value: withValue ? stored.value.toString('base64') : '',
    lease: stored.lease,
  });
}

/** Formats a watch event; the type `PUT` is the default and is omitted. */
export function formatEvent(event: KeyEvent): Record<string, unknown> {
  return { ...(event.type === 'DELETE' ? { type: 'DELETE' } : {}), kv: formatKey(event.key) };
}
