/**
 * The number of descriptors that a process may open, and how many of them are left for connections to callers and
 * endpoints.
 */
import * as fs from 'node:fs/promises';
import { type GatewaySettings, MINIMUM_SOCKETS } from './settings.js';

/**
 * Sockets for everything else: listeners, connections to the store, the exchange with other daemons, readiness checks,
 * metrics and connection tries.
 */
const OWN_SOCKETS = 96;
/** Upper bound of these as a share, so that a low limit leaves most to callers. */
const OWN_SOCKETS_SHARE = 0.3;

/** Where Linux describes the limits of the process. */
const LIMITS_FILE = '/proc/self/limits';
const DESCRIPTORS_FOLDER = '/proc/self/fd';

/** Reads the limit of the process; `Infinity` if the system has none or does not describe it. */
export async function readProcessDescriptorLimit(): Promise<number> {
  let text: string;
  try {
    text = await fs.readFile(LIMITS_FILE, 'utf8');
  } catch {
    // Only Linux has this file.
    return Infinity;
  }
  const limit = /^Max open files\s+(\d+)/m.exec(text)?.[1];
  return limit === undefined ? Infinity : Number(limit);
}

/** Counts the open descriptors of the process; undefined if the system does not list them. */
export async function countOpenDescriptors(): Promise<number | undefined> {
  try {
    return (await fs.readdir(DESCRIPTORS_FOLDER)).length;
  } catch {
    return undefined;
  }
}

/**
 * Computes how many descriptors connections to callers and endpoints may use together. Some platforms count sockets apart
 * from files, so that a process limit which leaves hardly any sockets says nothing about them.
 */
export function computeConnectionDescriptors(
  { descriptors, reservedDescriptors }: GatewaySettings['limits'],
  processLimit: number,
): number {
  const ofProcess = Math.max(0, processLimit - reservedDescriptors);
  const ofSettings = descriptors === undefined ? Infinity : descriptors - reservedDescriptors;
  const isOfFilesOnly = descriptors !== undefined && ofProcess < MINIMUM_SOCKETS;
  const sockets = isOfFilesOnly ? ofSettings : Math.min(ofSettings, ofProcess);
  return sockets - Math.min(OWN_SOCKETS, Math.ceil(sockets * OWN_SOCKETS_SHARE));
}
