/**
 * Requests that wait for the usage limit of their organisation.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { digestToken } from '@dogwoodstall/traffic';
import { respondOk, withGateway } from './with-gateway.js';

const TOKEN = 'token-of-acme';
const headers = { token: TOKEN };
const acme = {
  name: 'acme',
  tokenDigests: [digestToken(TOKEN)],
  requestsPerSecond: 10,
  burst: 10,
};
const WAIT_MILLISECONDS = 300;

// Guards against a log in which a wait for a usage limit can't be told from a wait for a slot.
test('the decision of a request tells how long it waited for its usage limit', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    gateway.setOrganisations(2, [acme]);
    await gateway.send({ headers });
    gateway.holdUsage();
    const response = gateway.send({ headers });
    await delay(WAIT_MILLISECONDS);
    gateway.admitWaiting();
    assert.equal((await response)?.status, 200);
    const [atOnce = 0, waited = 0] = gateway.decisions.map(
      ({ usageWaitMilliseconds }) => usageWaitMilliseconds,
    );
    assert.ok(atOnce < WAIT_MILLISECONDS / 2, `${atOnce} ms`);
    assert.ok(waited >= WAIT_MILLISECONDS - 20, `${waited} ms`);
  });
});
