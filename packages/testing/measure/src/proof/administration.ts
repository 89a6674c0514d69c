/**
 * Calls to the administration API of the daemons of a local fleet, by the operator of the fleet.
 */
import * as undici from 'undici';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { OPERATOR_TOKEN } from '../fleet/local-fleet.js';

const CALL_MILLISECONDS = 2000;

/** One answer of the administration API. */
export interface AdministrationAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls one daemon; undefined without an answer in time. */
export async function callAdministration(
  daemon: DaemonProcess,
  method: 'GET' | 'PUT',
  path: string,
  entity?: unknown,
): Promise<AdministrationAnswer | undefined> {
  try {
    const answer = await undici.request(`http://${daemon.administrationAddress}${path}`, {
      method,
      reset: true,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
      body: entity === undefined ? null : JSON.stringify(entity),
      signal: AbortSignal.timeout(CALL_MILLISECONDS),
    });
    return { status: answer.statusCode, body: await answer.body.json() };
  } catch {
    return undefined;
  }
}
