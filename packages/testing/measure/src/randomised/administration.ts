/**
 * Client for the administration API of the daemons of a local fleet.
 */
import * as undici from 'undici';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { OPERATOR_TOKEN } from '../fleet/local-fleet.js';

const CALL_MILLISECONDS = 2000;

/** Response of the administration API. */
export interface AdministrationResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Calls one daemon with the operator's token; returns undefined on an error or a timeout. */
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
