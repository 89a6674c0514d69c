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

/** Whether a request is expected to hold its slot briefly or many times longer than the rest. */
export const sizeClassSchema = zod.enum(['short', 'long']);

/** An availability zone and the region that it lies in. */
export const zoneSchema = zod.strictObject({ name, region: name });

/** An organisation: a team that owns services, and a caller of services. */
export const organisationSchema = zod.strictObject({
  name,
  /** Relative share of a contended queue. */
  weight: zod.number().min(0.01).max(1000).default(1),
  /** SHA-256 digests of the tokens that administer the organisation's services. */
  administratorTokenDigests: zod.array(tokenDigest).max(20).default([]),
  /** SHA-256 digests of the tokens that its callers send. */
  callerTokenDigests: zod.array(tokenDigest).max(20).default([]),
});

/** The promises that the callers of a service rely on. */
export const contractSchema = zod.strictObject({
  /** Time for a whole request, from its arrival at the fleet to the last byte of the answer. */
  deadlineMilliseconds: milliseconds.default(2000),
  /** Smallest share of the endpoints' slots that ejection must leave in use. */
  healthyCapacityFloor: fraction.default(0.5),
  /** Smallest number of slots that the service must be configured with. */
  minimumSlots: zod.number().int().min(0).default(0),
  /** 0 is the most important. */
  priority: zod.number().int().min(0).max(3).default(1),
  sizeClass: sizeClassSchema.default('short'),
  /** Share of the slots that long requests may use while short ones may come. */
  longSlotShare: fraction.default(0.5),
  /** Retries allowed per first attempt, as a share. */
  retryBudget: fraction.default(0.2),
  maximumAttempts: zod.number().int().min(1).max(5).default(3),
  /** Requests that may wait in one dispatch cell. */
  queueLimit: zod.number().int().min(0).max(100_000).default(2000),
  /** Requests per second of one organisation; undefined is unlimited. */
  organisationRatePerSecond: zod.number().positive().optional(),
  /** Concurrent requests of one organisation; undefined is unlimited. */
  organisationConcurrency: zod.number().int().positive().optional(),
  /** Whether callers must present an organisation's token. */
  organisationRequired: zod.boolean().default(false),
  /** Time that a new endpoint may be slower than its peers. */
  coldStartMilliseconds: milliseconds.default(10_000),
  /** Lifetime of an idempotency key. */
  keyLifetimeMilliseconds: milliseconds.default(3_600_000),
  /** Largest answer that is kept for a resend of a non-idempotent request. */
  recordedAnswerBytes: zod.number().int().min(0).max(1_048_576).default(65_536),
});

/** A service: a name that routes point to, its owner and its contract. */
export const serviceSchema = zod.strictObject({
  name,
  organisation: name,
  contract: contractSchema.prefault({}),
});

/** A backend server of one service; the name is unique in the whole configuration. */
export const backendServerSchema = zod.strictObject({
  name,
  service: name,
  /** IP address and port, `192.0.2.1:8080` or `[2001:db8::1]:8080`. */
  address: zod.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/),
  zone: name,
  /** Requests that it runs at the same time. */
  slots: zod.number().int().min(1).max(1000),
  /** Connections that it accepts from the whole fleet. */
  connectionLimit: zod.number().int().min(1).max(100_000),
  /** A draining backend server receives no new work. */
  draining: zod.boolean().default(false),
});

/** A route: which requests belong to a service, and what may be done with them. */
export const routeSchema = zod.strictObject({
  name,
  service: name,
  /** Exact host name, without port. */
  host: zod
    .string()
    .min(1)
    .max(253)
    .regex(/^[a-z0-9.:[\]-]+$/),
  /** Path prefix that matches whole segments. */
  pathPrefix: zod.string().max(1000).regex(/^\//),
  methods: zod.array(zod.string().regex(/^[A-Z]{1,20}$/)).min(1),
  /** Whether a request may be repeated without changing the outcome. */
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

/** The entity type behind each kind. */
export interface EntityByKind {
  zone: Zone;
  organisation: Organisation;
  service: Service;
  backendServer: BackendServer;
  route: Route;
}
