/**
 * Schemas of the messages between an entry daemon and the dispatcher of a cell. Each datagram carries one message,
 * encoded as a MessagePack array: field names would double its size, and traffic between zones is billed.
 */
import { announcementSchema } from '@dogwoodstall/traffic';
import * as z from 'zod';

const milliseconds = z.number().nonnegative();
/** Slots in use plus queued requests of the cell, in percent of its slots. */
const load = z.number().int();

/** Requests a slot of a service. `askId` is unique per sender, so a repeated datagram is recognised by it. */
export const askSchema = z.tuple([
  z.literal('ask'),
  z.object({
    askId: z.number().int(),
    /** Name of the cell that the slot is requested from. */
    cell: z.string(),
    route: z.string(),
    zone: z.string(),
    idempotent: z.boolean(),
    priority: z.number().int(),
    /** Time left until the caller's deadline. */
    remaining: z.number(),
    /** Target latency of the route; service times are relative to it. */
    target: z.number().positive(),
    /** Whether an earlier attempt may have reached an endpoint. */
    repeated: z.boolean(),
    /** Always false; older daemons count the request for a retry budget of the dispatcher unless it is true. */
    moved: z.boolean(),
    /** Size of the body, from which the cost of sending it to another zone is calculated. */
    kilobytes: z.number().int(),
    /** Digest of caller, target and body; identifies a request that the caller sends again. */
    fingerprint: z.string(),
    /** Ids of the endpoints that earlier attempts used. */
    excluded: z.array(z.string()),
    /** Time for which the request has already waited at dispatchers of other cells. Older daemons send none. */
    waitedElsewhere: milliseconds.default(0),
    /** Whether the sender can repeat the request, so that it may probe an endpoint. Older daemons send none. */
    mayProbe: z.boolean().default(false),
    /** Name of the caller's organisation, empty if it has none. Older daemons send none. */
    organisation: z.string().default(''),
    /**
     * Load of the cell in percent above which the slot is refused, as it is if none is free at once; null if the request
     * may wait. Older daemons send none.
     */
    maximumLoad: load.nullable().default(null),
  }),
]);

/** Grants a slot on an endpoint. */
export const grantSchema = z.tuple([
  z.literal('grant'),
  z.object({
    askId: z.number().int(),
    grantId: z.number().int(),
    endpoint: z.string(),
    address: z.string(),
    /** Time without a response after which an idempotent request is hedged on a second endpoint. */
    hedgeAfter: milliseconds,
    /** Maximum idle time of a connection to the endpoint for it to be reused. */
    reuseWithin: milliseconds,
    load,
    /** Start time of the endpoint's process; 0 from older daemons. */
    lifetime: z.number().default(0),
  }),
]);

/** Reports that a request is queued for a slot. */
export const queuedSchema = z.tuple([z.literal('queued'), z.number().int()]);

/** Refuses a request; no grant will follow. */
export const refuseSchema = z.tuple([
  z.literal('refuse'),
  z.object({
    askId: z.number().int(),
    reason: z.enum(['no-endpoint', 'overload', 'retry-budget', 'crashing', 'stopping']),
    retryAfter: milliseconds,
    load,
  }),
]);

/** Withdraws a queued request. */
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

/** Reports how a granted attempt ended; resent until it is acknowledged. */
export const reportSchema = z.tuple([
  z.literal('report'),
  z.object({
    grantId: z.number().int(),
    outcome: outcomeSchema,
    elapsed: milliseconds,
    /** Running and queued requests that the endpoint reported; -1 if it reported none. */
    load: z.number().int(),
    /** Whether the attempt ended before a response began. */
    silent: z.boolean(),
    /** Idle time of the connection before the attempt; 0 for a new connection. */
    rested: milliseconds,
    /** What the endpoint announced; null if nothing or if there was no response. Older daemons send none. */
    announcement: announcementSchema.nullable().default(null),
  }),
]);

/** Acknowledges a report. */
export const acknowledgeSchema = z.tuple([z.literal('acknowledge'), z.number().int()]);

/** Checks that a dispatcher is alive and requests its state. */
export const pingSchema = z.tuple([
  z.literal('ping'),
  z.object({
    sequence: z.number().int(),
    name: z.string(),
    /**
     * Whether the sender is a dispatcher or the next to become one. Such a daemon is also sent the suspects of each
     * cell and is notified of endpoint changes.
     */
    standby: z.boolean(),
    configurationVersion: z.number().int(),
    directoryRevision: z.number(),
    /** Era of the store to which the revision belongs; absent from older daemons. */
    directoryEra: z.number().int().optional(),
  }),
]);

/** Response to a ping. */
export const pongSchema = z.tuple([
  z.literal('pong'),
  z.object({
    sequence: z.number().int(),
    stopping: z.boolean(),
    /** Whether the sender has enough state to dispatch. */
    settled: z.boolean(),
    configurationVersion: z.number().int(),
    directoryRevision: z.number(),
    /** Time since the sender or any peer it is in contact with last reached the store. */
    storeAge: milliseconds,
    memberDigest: z.string(),
    /** The cells that the sender dispatches; filled only for a standby. */
    cells: z.array(
      z.object({
        name: z.string(),
        /** Ids of the endpoints that are unreachable or probably in a gray failure. */
        suspects: z.array(z.string()),
        /**
         * What endpoints announce: id, lifetime, requests per second (null without a limit), and whether they are about
         * to stop. Absent from older daemons.
         */
        announcements: z
          .array(
            z.tuple([z.string(), z.number(), z.number().nonnegative().nullable(), z.boolean()]),
          )
          .optional(),
        /** Time since the evidence for each of these announcements. Absent from older daemons. */
        announcementAges: z.array(milliseconds).optional(),
        /** Limits that ended recently: id, lifetime, and time since the evidence for it. Absent from older daemons. */
        endedLimits: z.array(z.tuple([z.string(), z.number(), milliseconds])).optional(),
      }),
    ),
    /** Era of the store to which the revision belongs; absent from older daemons. */
    directoryEra: z.number().int().nullish(),
    /** Revision at which an endpoint last began to drain, if one did. Older daemons send none. */
    drains: z.array(z.number()).max(1).default([]),
  }),
]);

/** What a daemon knows of requests that crash endpoints. */
export const crashesSchema = z.tuple([
  z.literal('crashes'),
  z.object({
    /** Whether the sender tells all daemons itself, so that the receiver need not pass the records on. */
    final: z.boolean(),
    records: z.array(
      z.object({
        fingerprint: z.string(),
        /** Time since the last change or refusal. */
        age: milliseconds,
        /** Time since the request was last processed successfully; null if it never was. */
        clearedAge: milliseconds.nullable(),
        /** Endpoint, lifetime, weight, host of the daemon that saw the reset, and time since then. */
        evidence: z.array(
          z.tuple([z.string(), z.number(), z.number().min(0).max(1), z.string(), milliseconds]),
        ),
      }),
    ),
  }),
]);

const fraction = z.number().min(0).max(1);
/** Sum of 1 if the sender pledges its part of the usage limits, 2 if it is certain, 4 if it keeps, 8 if it has rested. */
const pledgeFlags = z.number().int().min(0).max(15);
const pledgePurpose = z.enum(['renew', 'release', 'probe']);

/** Asks a keeper of usage limits for tokens of an organisation. */
export const borrowSchema = z.tuple([
  z.literal('borrow'),
  z.object({
    sequence: z.number().int(),
    organisation: z.string(),
    wanted: z.number().int().min(1),
    pledge: pledgeFlags,
  }),
]);

/** Lends tokens of an organisation, or says when there will be one. */
export const lendSchema = z.tuple([
  z.literal('lend'),
  z.object({
    sequence: z.number().int(),
    organisation: z.string(),
    tokens: z.number().int().nonnegative(),
    retryAfter: milliseconds,
    settling: z.boolean(),
    share: fraction,
  }),
]);

/** Pledges the sender's part of the limits of a group of organisations, or takes it back. */
export const pledgeSchema = z.tuple([
  z.literal('pledge'),
  z.object({
    group: z.number().int().nonnegative(),
    sequence: z.number().int(),
    purpose: pledgePurpose,
    pledge: pledgeFlags,
  }),
]);

/** Response to such a pledge. */
export const pledgedSchema = z.tuple([
  z.literal('pledged'),
  z.object({
    group: z.number().int().nonnegative(),
    sequence: z.number().int(),
    purpose: pledgePurpose,
    declined: z.boolean(),
    keeping: z.boolean(),
    share: fraction,
  }),
]);

/** Any message; the position of a schema in this union is its code on the wire. */
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
  crashesSchema,
  borrowSchema,
  lendSchema,
  pledgeSchema,
  pledgedSchema,
]);

export type Message = z.infer<typeof messageSchema>;
export type Ask = z.infer<typeof askSchema>[1];
export type Grant = z.infer<typeof grantSchema>[1];
export type Refusal = z.infer<typeof refuseSchema>[1];
export type Report = z.infer<typeof reportSchema>[1];
export type Ping = z.infer<typeof pingSchema>[1];
export type Pong = z.infer<typeof pongSchema>[1];
export type Crashes = z.infer<typeof crashesSchema>[1];
export type Outcome = z.infer<typeof outcomeSchema>;
export type Borrow = z.infer<typeof borrowSchema>[1];
export type Lend = z.infer<typeof lendSchema>[1];
export type PledgeMessage = z.infer<typeof pledgeSchema>[1];
export type Pledged = z.infer<typeof pledgedSchema>[1];

/**
 * Values that stand before a field, by message and field. Daemons of earlier versions send fields there that are no longer
 * read, and reject a message that has something else in their place.
 */
export const retiredValues: Readonly<Record<string, readonly unknown[]>> = {
  'pong.directoryEra': [0, []],
};
