/**
 * Callers that do not read their responses.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { formatRequest, formatResponse } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { withGateway } from './with-gateway.js';

/** More than the sockets between gateway and caller hold. */
const LARGE_BYTES = 8_000_000;
const DEADLINE_MILLISECONDS = 2000;
const MARGIN_MILLISECONDS = 200;

const respondLarge: Script = (socket, request) =>
  socket.write(formatResponse(request, 'x'.repeat(LARGE_BYTES)));

// Guards against responses that no longer count once the endpoint has sent them, while their callers have not read them.
test('an unread response counts until its caller has stopped waiting, and is given up then for another one', async () => {
  await withGateway([respondLarge], {}, async ({ gateway }) => {
    const unread = gateway.connect();
    unread.on('error', () => {});
    unread.pause();
    unread.write(formatRequest('POST', 'x'));
    await delay(500);
    const whileWaiting = await gateway.send({ body: 'x' });
    assert.equal(whileWaiting?.status, 502, 'two do not fit, and the first caller still waits');
    assert.deepEqual(gateway.givenUp, []);
    await delay(DEADLINE_MILLISECONDS);
    const afterDeadline = await gateway.send({ body: 'x' });
    assert.equal(afterDeadline?.body.length, LARGE_BYTES);
    assert.equal(gateway.givenUp.length, 1);
    unread.destroy();
  });
});

test('a response that is read late is delivered if nothing needs its memory', async () => {
  await withGateway([respondLarge], {}, async ({ gateway }) => {
    const late = gateway.connect();
    late.pause();
    late.write(formatRequest('POST', 'x'));
    await delay(DEADLINE_MILLISECONDS + MARGIN_MILLISECONDS);
    let received = 0;
    late.on('data', (chunk: Buffer) => {
      received += chunk.length;
    });
    late.resume();
    await delay(500);
    assert.ok(received > LARGE_BYTES, `${received} bytes`);
    assert.deepEqual(gateway.givenUp, []);
    late.destroy();
  });
});

test('responses that are read return their memory', async () => {
  await withGateway([respondLarge], {}, async ({ gateway }) => {
    for (let count = 0; count < 5; count += 1) {
      assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    }
  });
});
