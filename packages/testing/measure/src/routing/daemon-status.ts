/**
 * Reads the status of a product daemon through its administration API.
 */
import * as undici from 'undici';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { OPERATOR_TOKEN } from '../fleet/local-fleet.js';

/** Health of one endpoint as reported by the dispatcher of its cell. */
export interface EndpointStatus {
  readonly name: string;
  readonly health?: { readonly condition: string; readonly ejections: number };
}

/** The fields of a daemon's status that measurements use. */
export interface DaemonStatus {
  readonly cells: readonly { readonly endpoints: readonly EndpointStatus[] }[];
  readonly revision?: number;
  readonly violations: Readonly<Record<string, number>>;
  readonly members: readonly { readonly state: string; readonly condition: string }[];
}

/** Reads the status of a daemon. */
export async function readDaemonStatus(daemon: DaemonProcess): Promise<DaemonStatus> {
  const response = await undici.request(`http://${daemon.administrationAddress}/v1/daemon`, {
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
  });
  return (await response.body.json()) as DaemonStatus;
}
