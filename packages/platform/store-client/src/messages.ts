/**
 * Schemas of the etcd v3 JSON gateway messages that the fleet uses. Keys and values are encoded in
 * base64, 64-bit integers as decimal strings.
 */
import * as zod from 'zod';

const integer = zod.union([zod.string().regex(/^\d+$/), zod.number()]).transform(Number);
const text = zod.string().transform((value) => Buffer.from(value, 'base64').toString('utf8'));
const headerSchema = zod.object({ revision: integer.default(0) }).prefault({});

/** Schema of a key with its value and revisions. */
export const entrySchema = zod.object({
  key: text,
  value: text.default(''),
  mod_revision: integer.default(0),
  create_revision: integer.default(0),
  version: integer.default(0),
});

/** Response of `/v3/kv/range`. */
export const rangeResponseSchema = zod.object({
  header: headerSchema,
  kvs: zod.array(entrySchema).default([]),
  more: zod.boolean().default(false),
});

/** Response of `/v3/kv/txn`. */
export const transactionResponseSchema = zod.object({
  header: headerSchema,
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_range: rangeResponseSchema.optional() })).default([]),
});

/** Response of `/v3/lease/grant`. */
export const leaseGrantResponseSchema = zod.object({ ID: zod.coerce.string(), TTL: integer });

/** Response of `/v3/lease/keepalive`; a TTL of 0 means that the lease has expired. */
export const leaseKeepAliveResponseSchema = zod.object({
  result: zod.object({ ID: zod.coerce.string(), TTL: integer.default(0) }),
});

/** One line of the response stream of `/v3/watch`. */
export const watchResponseSchema = zod.object({
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
export type WatchResponse = zod.infer<typeof watchResponseSchema>['result'];

/** Encodes a key or value in base64. */
export function encodeText(value: string): string {
  return Buffer.from(value, 'utf8').toString('base64');
}

/** Returns the exclusive end of the range of keys with a prefix, whose last character must be ASCII. */
export function getPrefixRangeEnd(prefix: string): string {
  return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

/** Response of `/v3/lease/revoke`. */
export const leaseRevokeResponseSchema = zod.object({});
