/**
 * What a daemon of the product says about itself on its administration port.
 */
import * as undici from 'undici';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { OPERATOR_TOKEN } from '../fleet/local-fleet.js';

/** Health of one endpoint, as the dispatcher of its cell reports it. */
export interface EndpointStatus {
  readonly name: string;
  readonly health?: { readonly condition: string; readonly ejections: number };
}

/** The part of a daemon's own status that measurements use. */
export interface DaemonStatus {
  readonly cells: readonly { readonly endpoints: readonly EndpointStatus[] }[];
  readonly revision?: number;
  readonly violations: Readonly<Record<string, number>>;
  readonly members: readonly { readonly state: string; readonly condition: string }[];
}

/** Reads a daemon's own status. */
export async function readDaemonStatus(daemon: DaemonProcess): Promise<DaemonStatus> {
  const answer = await undici.request(`http://${daemon.administrationAddress}/v1/daemon`, {
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
  });
  return (await answer.body.json()) as DaemonStatus;
}
