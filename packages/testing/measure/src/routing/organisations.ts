/**
 * Adds organisations to the fleets of the routing measurements.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as undici from 'undici';
import { ControlClient } from '../fleet/control-client.js';
import { callerTokenOf, digestToken } from '../fleet/first-change.js';
import { type LocalFleet, OPERATOR_TOKEN } from '../fleet/local-fleet.js';
import { readDaemonStatus } from './daemon-status.js';

const REVISION = 2;
const APPLY_TIMEOUT_MILLISECONDS = 7000;
const POLL_MILLISECONDS = 50;

function createDraft(organisations: readonly string[]): model.ChangeDraftInput {
  return {
    id: 'further-organisations',
    baseRevision: REVISION - 1,
    author: 'measurement',
    reason: 'organisations of a measurement',
    operations: organisations.map((name) => ({
      action: 'put',
      kind: 'organisation',
      entity: { name, callerTokenDigests: [digestToken(callerTokenOf(name))] },
    })),
  };
}

/** Commits a change that adds organisations and waits until it is active in every daemon. */
export async function addOrganisationsToProduct(
  fleet: LocalFleet,
  organisations: readonly string[],
): Promise<void> {
  const address = fleet.daemons[0]?.administrationAddress ?? '';
  const response = await undici.request(`http://${address}/v1/changes`, {
    method: 'POST',
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
    body: JSON.stringify(createDraft(organisations)),
  });
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new results.FailureError('InternalError', `the change was rejected: ${text}`);
  }
  const giveUpAt = performance.now() + APPLY_TIMEOUT_MILLISECONDS;
  for (const daemon of fleet.daemons) {
    while (((await readDaemonStatus(daemon)).revision ?? 0) < REVISION) {
      if (performance.now() > giveUpAt) {
        throw new results.FailureError('InternalError', `${daemon.name} did not apply the change`);
      }
      await sleep(POLL_MILLISECONDS);
    }
  }
}

/** Adds organisations to each baseline daemon. */
export async function addOrganisationsToBaseline(
  fleet: LocalFleet,
  organisations: readonly string[],
): Promise<void> {
  const change = model.changeSchema.parse({
    ...createDraft(organisations),
    revision: REVISION,
    acceptedAtEpochMilliseconds: Date.now(),
  });
  for (const daemon of fleet.daemons) {
    await new ControlClient(daemon.administrationAddress).post('/change', change);
  }
}
