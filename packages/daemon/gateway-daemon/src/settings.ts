/**
 * Schema and loading of the settings of a gateway daemon.
 */
import { parseToml, readTextFile } from '@dogwoodstall/settings';
import * as z from 'zod';

const addressSchema = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected IP address:port');
/** Fewest descriptors that must be left for sockets. */
export const MINIMUM_SOCKETS = 64;
const portSchema = z.number().int().min(1).max(65_535);

/** Limits of second attempts of requests that are late; without them, only the retry budget limits these attempts. */
const hedgingSchema = z.strictObject({
  /** Second attempts per request that may be repeated; 0 for none. */
  share: z.number().min(0).max(1),
  /** A request is late when it takes longer than this share of the recent requests of its route. */
  quantile: z.number().min(0.5).lt(1).default(0.95),
  /** Load of a cell, as a share of its slots, above which it gets no second attempts. */
  maximumLoad: z.number().positive().max(1).default(0.8),
  /** Share of the retry budget that is kept for retries after failures. */
  reserve: z.number().min(0).max(1).default(0.5),
});

/** The settings file of a gateway daemon. */
const settingsSchema = z.object({
  /** Name of the daemon, unique in the fleet. */
  name: z.string().min(1),
  zone: z.string().min(1),
  listen: z.object({
    caller: addressSchema,
    readiness: addressSchema,
    /** Address of the HTTP server from which other daemons read the state. */
    peer: addressSchema,
    /** UDP port for datagrams between daemons, the same on every VM. */
    datagramPort: portSchema,
    /** Port of the metrics server, which is not started when the port is absent. */
    metricsPort: portSchema.optional(),
  }),
  /** Address of the platform's key-value service. */
  store: z.object({ address: addressSchema }),
  /** Peer addresses of daemons to bootstrap from when the store does not respond. */
  seeds: z.array(addressSchema).default([]),
  retries: z
    .object({
      /** Retries per request that all daemons together may add. */
      ratio: z.number().nonnegative().default(0.2),
      /** Retries per window that are allowed on top of the ratio. */
      slack: z.number().nonnegative().default(0),
      windowSeconds: z.number().positive().default(10),
    })
    .prefault({}),
  usage: z
    .object({
      /** Window over which the usage limits of organisations hold. */
      windowSeconds: z.number().positive().default(5),
      /** Requests beyond a limit that are tolerated in a window, as a fraction of it. */
      overage: z.number().nonnegative().default(0),
      /** The same as a number of requests of each organisation. */
      slack: z.number().nonnegative().default(0),
    })
    .prefault({}),
  hedging: hedgingSchema.optional(),
  stop: z
    .object({
      /** Seconds from SIGTERM until the process is killed. */
      graceSeconds: z.number().positive().default(6),
    })
    .prefault({}),
  limits: z
    .object({
      memoryMegabytes: z.number().positive().default(250),
      /**
       * Descriptors that the process may have open. A limit of the process that leaves any for sockets applies as well, and
       * alone by default.
       */
      descriptors: z.number().int().positive().optional(),
      /** Number of these that are not available for sockets. */
      reservedDescriptors: z.number().int().nonnegative().default(40),
      /** CPU capacity of the VM in cores; VMs with more capacity are preferred as dispatchers. */
      cores: z.number().positive().default(1),
      /** Fraction of the CPU time that the process may use. */
      coreShare: z.number().positive().max(1).default(1),
    })
    .refine(
      ({ descriptors = Infinity, reservedDescriptors }) =>
        descriptors - reservedDescriptors >= MINIMUM_SOCKETS,
      {
        path: ['descriptors'],
        error: `must exceed limits.reservedDescriptors by ${MINIMUM_SOCKETS} at least`,
      },
    )
    .prefault({}),
  log: z
    .object({
      level: z.enum(['error', 'warn', 'info', 'debug', 'silent']).default('info'),
      /** Maximum rate of decision log lines; lines beyond it are only counted. */
      decisionsPerSecond: z.number().nonnegative().default(50),
    })
    .prefault({}),
});

export const gatewaySettingsSchema = settingsSchema.refine(
  ({ hedging, retries }) => hedging === undefined || hedging.share <= retries.ratio,
  {
    path: ['hedging', 'share'],
    error: 'must not exceed retries.ratio, since hedges are taken from the retry budget',
  },
);

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Loads and validates a settings file; throws `SettingsUnreadable`, `SettingsSyntax` or `SettingsInvalid`. */
export async function loadGatewaySettings(file: string): Promise<GatewaySettings> {
  return parseToml(await readTextFile(file), file, gatewaySettingsSchema);
}

/** Splits an `IP address:port` of the settings. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
