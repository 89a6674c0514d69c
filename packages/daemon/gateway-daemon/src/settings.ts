/**
 * Settings of a gateway daemon.
 */
import { parseToml, readTextFile } from '@dogwoodstall/settings';
import * as z from 'zod';

const addressSchema = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected IP address:port');
const portSchema = z.number().int().min(1).max(65_535);

/** The settings file of a gateway daemon. */
export const gatewaySettingsSchema = z.object({
  /** Name of the daemon, unique in the fleet. */
  name: z.string().min(1),
  zone: z.string().min(1),
  listen: z.object({
    caller: addressSchema,
    readiness: addressSchema,
    /** Other daemons read the state from here by HTTP. */
    peer: addressSchema,
    /** Port for datagrams between daemons, the same on every VM. */
    datagramPort: portSchema,
    /** Port of the metrics page; none when it is left out. */
    metricsPort: portSchema.optional(),
  }),
  /** Address of the platform's key-value service. */
  store: z.object({ address: addressSchema }),
  /** Peer addresses of daemons that may be asked when the store does not answer. */
  seeds: z.array(addressSchema).default([]),
  retries: z.object({
    /** Retries per request that all daemons together may cause. */
    ratio: z.number().nonnegative(),
    /** Retries per window beyond that share. */
    slack: z.number().nonnegative(),
    windowSeconds: z.number().positive(),
  }),
  stop: z.object({
    /** Time from SIGTERM until the process is killed. */
    graceSeconds: z.number().positive(),
  }),
  limits: z.object({
    memoryMegabytes: z.number().positive(),
    /** Speed of the processor in cores; stronger VMs dispatch before weaker ones. */
    cores: z.number().positive().default(1),
    /** Share of the processor's time that the process may use. */
    coreShare: z.number().positive().max(1).default(1),
  }),
  log: z
    .object({
      level: z.enum(['error', 'warn', 'info', 'debug', 'silent']).default('info'),
      /** Decision lines per second that are written; the others are counted. */
      decisionsPerSecond: z.number().nonnegative().default(50),
    })
    .prefault({}),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Returns the checked settings in a file; throws `SettingsUnreadable`, `SettingsSyntax` or `SettingsInvalid`. */
export async function loadGatewaySettings(file: string): Promise<GatewaySettings> {
  return parseToml(await readTextFile(file), file, gatewaySettingsSchema);
}

/** An address of the settings in its parts. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
