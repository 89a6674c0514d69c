/**
 * Finds the daemon that dispatches the requests of one class, from the decisions that the daemons explain.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type * as load from '@dogwoodstall/load';
import * as results from '@dogwoodstall/results';
import * as undici from 'undici';
import type { DaemonProcess } from './daemon-process.js';
import { type LocalFleet, OPERATOR_TOKEN } from './local-fleet.js';

const POLL_MILLISECONDS = 100;
const SEARCH_MILLISECONDS = 10_000;
// While membership is still converging, a single agreement may be a coincidence.
const REQUIRED_AGREEMENTS = 5;

interface Explanation {
  readonly decisions: readonly { readonly dispatcher?: string }[];
}

async function fetchDispatcher(
  daemon: DaemonProcess,
  request: load.RequestClass,
): Promise<string | undefined> {
  const response = await undici.request(`http://${daemon.callerAddress}${request.path}`, {
    headers: {
      host: request.host,
      'dogwoodstall-organisation-token': request.organisationToken ?? '',
    },
    reset: true,
  });
  await response.body.dump();
  const path = `/v1/explain/${String(response.headers['request-id'])}`;
  const explanation = await undici.request(`http://${daemon.administrationAddress}${path}`, {
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    reset: true,
  });
  const { decisions } = (await explanation.body.json()) as Explanation;
  return decisions[0]?.dispatcher;
}

/** Returns the dispatcher on which all daemons agree; throws `ProcessStartFailed` if they do not agree in time. */
export async function findDispatcher(
  fleet: LocalFleet,
  request: load.RequestClass,
): Promise<DaemonProcess> {
  const deadline = performance.now() + SEARCH_MILLISECONDS;
  let agreements = 0;
  while (performance.now() < deadline) {
    const names = await Promise.all(
      fleet.daemons.map((daemon) => fetchDispatcher(daemon, request)),
    );
    agreements = new Set(names).size === 1 ? agreements + 1 : 0;
    const found = fleet.daemons.find(({ name }) => name === names[0]);
    if (found !== undefined && agreements >= REQUIRED_AGREEMENTS) {
      return found;
    }
    await sleep(POLL_MILLISECONDS);
  }
  throw new results.FailureError('ProcessStartFailed', 'the daemons did not agree on a dispatcher');
}
