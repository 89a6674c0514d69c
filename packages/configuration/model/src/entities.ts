/**
 * Schemas of the entities of a configuration: availability zones, organisations, services with their
 * contracts, backend servers and routes. All types are inferred from these schemas.
 */
import * as zod from 'zod';

const MAXIMUM_NAME_LENGTH = 100;
const MAXIMUM_MILLISECONDS = 86_400_000;

const name = zod
  .string()
  .max(MAXIMUM_NAME_LENGTH)
  .regex(
    /^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/,
    'expected lower-case letters, digits, ".", "_" and "-"',
  );

const tokenDigest = zod
  .string()
  .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hexadecimal');

const milliseconds = zod.number().int().min(1).max(MAXIMUM_MILLISECONDS);

const fraction = zod.number().min(0).max(1);

/** Expected duration of a request: `long` requests occupy a slot many times longer than `short` ones. */
export const sizeClassSchema = zod.enum(['short', 'long']);

/** An availability zone and the region that contains it. */
export const zoneSchema = zod.strictObject({ name, region: name });

/** An organisation: a team that owns services, and a caller of services. */
export const organisationSchema = zod.strictObject({
  name,
  /** Weight of the organisation's requests when a queue is contended, relative to other organisations. */
  weight: zod.number().min(0.01).max(1000).default(1),
  /** SHA-256 digests of the tokens that authorise administration of the organisation's services. */
  administratorTokenDigests: zod.array(tokenDigest).max(20).default([]),
  /** SHA-256 digests of the tokens that its callers send. */
  callerTokenDigests: zod.array(tokenDigest).max(20).default([]),
});

/** Service-level guarantees and limits that the callers of a service rely on. */
export const contractSchema = zod.strictObject({
  /** Time limit for a request, from its arrival at the fleet to the last byte of the response. */
  deadlineMilliseconds: milliseconds.default(2000),
  /** Minimum share of the endpoints' slots that must remain in use despite ejections. */
  healthyCapacityFloor: fraction.default(0.5),
  /** Minimum number of slots that must be configured for the service. */
  minimumSlots: zod.number().int().min(0).default(0),
  /** 0 is the highest priority. */
  priority: zod.number().int().min(0).max(3).default(1),
  sizeClass: sizeClassSchema.default('short'),
  /** Maximum share of the slots that long requests may use while short requests are arriving. */
  longSlotShare: fraction.default(0.5),
  /** Allowed ratio of retries to first attempts. */
  retryBudget: fraction.default(0.2),
  maximumAttempts: zod.number().int().min(1).max(5).default(3),
  /** Maximum number of queued requests in one dispatch cell. */
  queueLimit: zod.number().int().min(0).max(100_000).default(2000),
  /** Maximum requests per second of one organisation; unlimited if undefined. */
  organisationRatePerSecond: zod.number().positive().optional(),
  /** Maximum concurrent requests of one organisation; unlimited if undefined. */
  organisationConcurrency: zod.number().int().positive().optional(),
  /** Whether callers must present the token of an organisation. */
  organisationRequired: zod.boolean().default(false),
  /** Time during which a new endpoint may be slower than other endpoints. */
  coldStartMilliseconds: milliseconds.default(10_000),
  /** Lifetime of an idempotency key. */
  keyLifetimeMilliseconds: milliseconds.default(3_600_000),
  /** Maximum size of a response that is recorded for a resend of a non-idempotent request. */
  recordedAnswerBytes: zod.number().int().min(0).max(1_048_576).default(65_536),
});

/** A service: the target of routes, with its owning organisation and its contract. */
export const serviceSchema = zod.strictObject({
  name,
  organisation: name,
  contract: contractSchema.prefault({}),
});

/** A backend server of one service; its name is unique in the configuration. */
export const backendServerSchema = zod.strictObject({
  name,
  service: name,
  /** IP address and port, `192.0.2.1:8080` or `[2001:db8::1]:8080`. */
  address: zod.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/),
  zone: name,
  /** Maximum number of concurrent requests. */
  slots: zod.number().int().min(1).max(1000),
  /** Maximum number of connections from all daemons of the fleet together. */
  connectionLimit: zod.number().int().min(1).max(100_000),
  /** A draining backend server receives no new requests. */
  draining: zod.boolean().default(false),
});

/** A route: selects the requests of a service and defines how they may be handled. */
export const routeSchema = zod.strictObject({
  name,
  service: name,
  /** Exact host name, without port. */
  host: zod
    .string()
    .min(1)
    .max(253)
    .regex(/^[a-z0-9.:[\]-]+$/),
  /** Path prefix, matched by whole segments. */
  pathPrefix: zod.string().max(1000).regex(/^\//),
  methods: zod.array(zod.string().regex(/^[A-Z]{1,20}$/)).min(1),
  /** Whether executing a request more than once has the same effect as executing it once. */
  idempotent: zod.boolean(),
  sizeClass: sizeClassSchema.optional(),
  deadlineMilliseconds: milliseconds.optional(),
  priority: zod.number().int().min(0).max(3).optional(),
  maximumBodyBytes: zod.number().int().min(0).default(1_073_741_824),
});

/** The schema of each kind of entity. */
export const entitySchemas = {
  zone: zoneSchema,
  organisation: organisationSchema,
  service: serviceSchema,
  backendServer: backendServerSchema,
  route: routeSchema,
} as const;

export type SizeClass = zod.infer<typeof sizeClassSchema>;
export type Zone = zod.infer<typeof zoneSchema>;
export type Organisation = zod.infer<typeof organisationSchema>;
export type Contract = zod.infer<typeof contractSchema>;
export type Service = zod.infer<typeof serviceSchema>;
export type BackendServer = zod.infer<typeof backendServerSchema>;
export type Route = zod.infer<typeof routeSchema>;

/** The name of a kind of entity. */
export type EntityKind = keyof typeof entitySchemas;

/** Maps each entity kind to its entity type. */
export interface EntityByKind {
  zone: Zone;
  organisation: Organisation;
  service: Service;
  backendServer: BackendServer;
  route: Route;
}
