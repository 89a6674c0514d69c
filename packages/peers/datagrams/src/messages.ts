/**
 * The messages between an entry daemon and the dispatcher of a cell. They travel as arrays, one per datagram, in
 * MessagePack: field names would double their size, and datagrams between zones are paid for.
 */
import * as z from 'zod';

const milliseconds = z.number();
/** Used and wanted slots of the cell in percent of its slots. */
const load = z.number().int();

/** Asks for a slot of a service. The same `askId` of the same sender always means the same request. */
export const askSchema = z.tuple([
  z.literal('ask'),
  z.object({
    askId: z.number().int(),
    /** Name of the cell whose endpoints may be granted. */
    cell: z.string(),
    route: z.string(),
    zone: z.string(),
    idempotent: z.boolean(),
    priority: z.number().int(),
    /** Time until the caller's deadline. */
    remaining: milliseconds,
    /** Time within which an answer is of full use. */
    target: milliseconds,
    /** Whether an endpoint may have received the request before. */
    repeated: z.boolean(),
    /** Whether the dispatcher of another cell refused the request before. */
    moved: z.boolean(),
    /** Length of the body, for the cost of another zone. */
    kilobytes: z.number().int(),
    /** Digest of caller, target and body. */
    fingerprint: z.string(),
    /** Ids of endpoints that were tried. */
    excluded: z.array(z.string()),
  }),
]);

/** Grants a slot. */
export const grantSchema = z.tuple([
  z.literal('grant'),
  z.object({
    askId: z.number().int(),
    grantId: z.number().int(),
    endpoint: z.string(),
    address: z.string(),
    /** Silence after which an idempotent request is worth a second endpoint. */
    hedgeAfter: milliseconds,
    /** Connections to the endpoint that rested for longer are not used again. */
    reuseWithin: milliseconds,
    load,
  }),
]);

/** Tells that a request waits for a slot. */
export const queuedSchema = z.tuple([z.literal('queued'), z.number().int()]);

/** Refuses a request; nothing will be granted for it. */
export const refuseSchema = z.tuple([
  z.literal('refuse'),
  z.object({
    askId: z.number().int(),
    reason: z.enum(['no-endpoint', 'overload', 'retry-budget', 'crashing', 'stopping']),
    retryAfter: milliseconds,
    load,
  }),
]);

/** Withdraws a request that waits. */
export const withdrawSchema = z.tuple([z.literal('withdraw'), z.number().int()]);

export const outcomeSchema = z.enum([
  'success',
  'error',
  'shed',
  'reset',
  'refused',
  'misdirected',
  'abandoned',
  'unused',
]);

/** Tells how an attempt on a grant ended; sent until it is acknowledged. */
export const reportSchema = z.tuple([
  z.literal('report'),
  z.object({
    grantId: z.number().int(),
    outcome: outcomeSchema,
    elapsed: milliseconds,
    /** Running and waiting requests that the endpoint told; -1 when it told nothing. */
    load: z.number().int(),
    /** Whether the endpoint was still processing when the caller or the deadline ended the attempt. */
    silent: z.boolean(),
    /** How long the connection had rested before; 0 for a new one. */
    rested: milliseconds,
  }),
]);

/** Acknowledges a report. */
export const acknowledgeSchema = z.tuple([z.literal('acknowledge'), z.number().int()]);

/** Asks a dispatcher whether it is there and what it knows. */
export const pingSchema = z.tuple([
  z.literal('ping'),
  z.object({
    sequence: z.number().int(),
    name: z.string(),
    /** Whether the sender dispatches or is the next to do so, and wants to know beliefs and changes of endpoints. */
    standby: z.boolean(),
    configurationVersion: z.number().int(),
    directoryRevision: z.number(),
  }),
]);

/** Answers a ping. */
export const pongSchema = z.tuple([
  z.literal('pong'),
  z.object({
    sequence: z.number().int(),
    stopping: z.boolean(),
    /** Whether the sender knows enough to dispatch. */
    settled: z.boolean(),
    configurationVersion: z.number().int(),
    directoryRevision: z.number(),
    /** Time since anybody whom the sender hears from reached the store. */
    storeAge: milliseconds,
    memberDigest: z.string(),
    /** The cells that the sender dispatches, for a standby. */
    cells: z.array(
      z.object({
        name: z.string(),
        /** Endpoints that are probably in a gray failure. */
        suspects: z.array(z.string()),
      }),
    ),
  }),
]);

/** Any message. */
export const messageSchema = z.union([
  askSchema,
  grantSchema,
  queuedSchema,
  refuseSchema,
  withdrawSchema,
  reportSchema,
  acknowledgeSchema,
  pingSchema,
  pongSchema,
]);

export type Message = z.infer<typeof messageSchema>;
export type Ask = z.infer<typeof askSchema>[1];
export type Grant = z.infer<typeof grantSchema>[1];
export type Refusal = z.infer<typeof refuseSchema>[1];
export type Report = z.infer<typeof reportSchema>[1];
export type Ping = z.infer<typeof pingSchema>[1];
export type Pong = z.infer<typeof pongSchema>[1];
export type Outcome = z.infer<typeof outcomeSchema>;
