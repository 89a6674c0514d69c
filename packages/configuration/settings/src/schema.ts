/**
 * The settings of one daemon process. Addresses, zone, key files and logging are settings; services
 * and everything that operators change at run time are configuration and live in the store.
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
  /** Callers, by way of the platform's balancer. */
  caller: address,
  /** Other daemons. */
  peer: address,
  /** Operators. */
  administration: address,
});

const peerTlsSchema = keyPairSchema.extend({
  /** PEM files of the authorities that sign the daemons' certificates; two during a rotation. */
  authorityFiles: zod.array(zod.string().min(1)).min(1),
});

const fleetSchema = zod.strictObject({
  /** Files with the fleet's signing keys: the first signs, all verify. */
  keyFiles: zod.array(zod.string().min(1)).min(1),
  /** Peer addresses that are asked at start-up besides the platform's list of VMs. */
  seeds: zod.array(address).default([]),
});

const logSchema = zod.strictObject({
  level: zod.enum(['error', 'warn', 'info', 'debug', 'silent']).default('info'),
  format: zod.enum(['json', 'text']).default('json'),
  /** Share of the routing and placement decisions that are logged, 0 to 1. */
  decisionShare: zod.number().min(0).max(1).default(1),
});

const metricsSchema = zod.strictObject({
  host: zod.string().optional(),
  port: zod.number().int().min(1).max(65_535).default(8125),
});

const limitsSchema = zod.strictObject({
  headerBytes: zod.number().int().min(1024).max(1_048_576).default(16_384),
  /** Time for a caller to send the request headers. */
  headerMilliseconds: zod.number().int().min(100).default(10_000),
  /** Longest pause within a request body. */
  bodyPauseMilliseconds: zod.number().int().min(100).default(30_000),
  callerConnections: zod.number().int().min(1).default(10_000),
  /** Callers' requests in flight; each may keep a body of 64 KiB in memory. */
  requestsInFlight: zod.number().int().min(1).default(4000),
  /** Records of idempotency keys; beyond them new keys are refused. */
  keyRecords: zod.number().int().min(1000).default(100_000),
});

const stopSchema = zod.strictObject({
  /** Time between the failing readiness check and the closing of the caller port. */
  balancerMilliseconds: zod.number().int().min(0).default(5000),
});

const invariantsSchema = zod.strictObject({
  /** Ends the process at the first violation of an invariant; for randomised runs. */
  stopOnViolation: zod.boolean().default(false),
});

const administrationSchema = zod.strictObject({
  /** SHA-256 digests of the tokens with authority over every organisation. */
  operatorTokenDigests: zod.array(tokenDigest).default([]),
});

/** The settings of one daemon, as the TOML file has them. */
export const settingsSchema = zod.strictObject({
  /** Unique in the fleet. */
  name,
  zone: zod.string().min(1),
  region: zod.string().min(1),
  listen: listenSchema,
  /** The address at which other daemons reach the peer port; `listen.peer` by default. */
  peerAddress: address.optional(),
  /** TLS towards callers; plain HTTP without it. */
  callerTls: keyPairSchema.optional(),
  /** TLS of the administration API; plain HTTP without it. */
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

/** The checked settings of one daemon. */
export type Settings = zod.infer<typeof settingsSchema>;
/** Settings as an operator writes them, before defaults are filled in. */
export type SettingsInput = zod.input<typeof settingsSchema>;
