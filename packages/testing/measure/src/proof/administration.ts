/**
 * Calls to the administration API of the daemons of a local fleet, by the operator of the fleet.
 */
import * as undici from 'undici';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { OPERATOR_TOKEN } from '../fleet/local-fleet.js';

const CALL_MILLISECONDS = 2000;

/** One response of the administration API. */
export interface AdministrationResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Calls one daemon; undefined without an response in time. */
export async function callAdministration(
  daemon: DaemonProcess,
  method: 'GET' | 'PUT',
  path: string,
  entity?: unknown,
): Promise<AdministrationResponse | undefined> {
  try {
    const response = await undici.request(`http://${daemon.administrationAddress}${path}`, {
      method,
      reset: true,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
      body: entity === undefined ? null : JSON.stringify(entity),
      signal: AbortSignal.timeout(CALL_MILLISECONDS),
    });
    return { status: response.statusCode, body: await response.body.json() };
  } catch {
    return undefined;
  }
}
