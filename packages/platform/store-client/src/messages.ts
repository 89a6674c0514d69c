/**
 * The messages of the etcd v3 JSON gateway that the fleet uses. Keys and values travel in base64,
 * 64-bit integers as decimal text.
 */
import * as zod from 'zod';

const integer = zod.union([zod.string().regex(/^\d+$/), zod.number()]).transform(Number);
const text = zod.string().transform((value) => Buffer.from(value, 'base64').toString('utf8'));
const headerSchema = zod.object({ revision: integer.default(0) }).prefault({});

/** A key with its value and revisions. */
export const entrySchema = zod.object({
  key: text,
  value: text.default(''),
  mod_revision: integer.default(0),
  create_revision: integer.default(0),
  version: integer.default(0),
});

/** The answer of `/v3/kv/range`. */
export const rangeAnswerSchema = zod.object({
  header: headerSchema,
  kvs: zod.array(entrySchema).default([]),
  more: zod.boolean().default(false),
});

/** The answer of `/v3/kv/txn`. */
export const transactionAnswerSchema = zod.object({
  header: headerSchema,
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_range: rangeAnswerSchema.optional() })).default([]),
});

/** The answer of `/v3/lease/grant`. */
export const leaseGrantAnswerSchema = zod.object({ ID: zod.coerce.string(), TTL: integer });

/** The answer of `/v3/lease/keepalive`; a time to live of 0 means that the lease is gone. */
export const leaseKeepAliveAnswerSchema = zod.object({
  result: zod.object({ ID: zod.coerce.string(), TTL: integer.default(0) }),
});

/** One line of the stream of `/v3/watch`. */
export const watchAnswerSchema = zod.object({
  result: zod.object({
    header: headerSchema,
    created: zod.boolean().default(false),
    canceled: zod.boolean().default(false),
    compact_revision: integer.default(0),
    events: zod
      .array(zod.object({ type: zod.enum(['PUT', 'DELETE']).default('PUT'), kv: entrySchema }))
      .default([]),
  }),
});

/** A key with its value and revisions. */
export type StoreEntry = zod.infer<typeof entrySchema>;
/** One batch of events of a watch. */
export type WatchResponse = zod.infer<typeof watchAnswerSchema>['result'];

/** Encodes a key or value. */
export function encodeText(value: string): string {
  return Buffer.from(value, 'utf8').toString('base64');
}

/** Returns the first key after all keys with a prefix; the last byte of the prefix is ASCII. */
export function getPrefixRangeEnd(prefix: string): string {
  return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

/** The answer of `/v3/lease/revoke`. */
export const leaseRevokeAnswerSchema = zod.object({});
