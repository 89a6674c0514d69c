/**
 * The settings of one daemon process. Addresses, zone, key files and logging are settings; services
 * and everything else that operators change at run time are configuration, which is kept in the store.
 */
import * as zod from 'zod';

const address = zod
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/, 'expected "IP address:port"');

const name = zod
  .string()
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, 'expected lower-case letters, digits and "-"');

const tokenDigest = zod
  .string()
  .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hexadecimal');

const keyPairSchema = zod.strictObject({
  /** PEM file with the certificate and its chain. */
  certificateFile: zod.string().min(1),
  /** PEM file with the private key. */
  keyFile: zod.string().min(1),
});

const listenSchema = zod.strictObject({
  /** Address for callers, reached through the platform's load balancer. */
  caller: address,
  /** Address for other daemons. */
  peer: address,
  /** Address of the administration API. */
  administration: address,
});

const peerTlsSchema = keyPairSchema.extend({
  /** PEM files of the CAs that sign the daemons' certificates; two during a rotation. */
  authorityFiles: zod.array(zod.string().min(1)).min(1),
});

const fleetSchema = zod.strictObject({
  /** Files with the fleet's signing keys: the first is used to sign, all are used to verify. */
  keyFiles: zod.array(zod.string().min(1)).min(1),
  /** Peer addresses contacted at start-up in addition to the platform's list of VMs. */
  seeds: zod.array(address).default([]),
});

const logSchema = zod.strictObject({
  level: zod.enum(['error', 'warn', 'info', 'debug', 'silent']).default('info'),
  format: zod.enum(['json', 'text']).default('json'),
  /** Fraction of the routing and placement decisions that are logged, 0 to 1. */
  decisionShare: zod.number().min(0).max(1).default(1),
});

const metricsSchema = zod.strictObject({
  host: zod.string().optional(),
  port: zod.number().int().min(1).max(65_535).default(8125),
});

const limitsSchema = zod.strictObject({
  headerBytes: zod.number().int().min(1024).max(1_048_576).default(16_384),
  /** Timeout for receiving the request headers from a caller. */
  headerMilliseconds: zod.number().int().min(100).default(10_000),
  /** Idle timeout while receiving a request body. */
  bodyPauseMilliseconds: zod.number().int().min(100).default(30_000),
  callerConnections: zod.number().int().min(1).default(10_000),
  /** Maximum caller requests in flight; each may buffer a body of up to 64 KiB in memory. */
  requestsInFlight: zod.number().int().min(1).default(4000),
  /** Maximum number of idempotency key records; new keys are rejected once it is reached. */
  keyRecords: zod.number().int().min(1000).default(100_000),
});

const stopSchema = zod.strictObject({
  /** Delay from the failing readiness check to the closing of the caller port. */
  balancerMilliseconds: zod.number().int().min(0).default(5000),
});

const invariantsSchema = zod.strictObject({
  /** Exits the process on the first invariant violation; intended for randomised test runs. */
  stopOnViolation: zod.boolean().default(false),
});

const administrationSchema = zod.strictObject({
  /** SHA-256 digests of the tokens that are authorised to administer every organisation. */
  operatorTokenDigests: zod.array(tokenDigest).default([]),
});

/** Schema of the settings file of a daemon. */
export const settingsSchema = zod.strictObject({
  /** Unique in the fleet. */
  name,
  zone: zod.string().min(1),
  region: zod.string().min(1),
  listen: listenSchema,
  /** Address that other daemons connect to; `listen.peer` by default. */
  peerAddress: address.optional(),
  /** TLS certificate for callers; plain HTTP if absent. */
  callerTls: keyPairSchema.optional(),
  /** TLS certificate of the administration API; plain HTTP if absent. */
  administrationTls: keyPairSchema.optional(),
  peerTls: peerTlsSchema,
  store: zod.strictObject({ addresses: zod.array(address).min(1) }),
  machineList: zod.strictObject({ address: address.optional() }).prefault({}),
  fleet: fleetSchema,
  administration: administrationSchema.prefault({}),
  log: logSchema.prefault({}),
  metrics: metricsSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  stop: stopSchema.prefault({}),
  invariants: invariantsSchema.prefault({}),
});

/** Validated settings of one daemon. */
export type Settings = zod.infer<typeof settingsSchema>;
/** Settings as an operator writes them, before defaults are applied. */
export type SettingsInput = zod.input<typeof settingsSchema>;
