/**
 * Endpoints that do not accept connections.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { TestGateway } from './fixture.js';
import { RoundRobinSlots } from './round-robin-slots.js';
import { ScriptedEndpoint } from './scripted-endpoint.js';
import { respondOk } from './with-gateway.js';

const BLOCKED_MILLISECONDS = 4000;
const FILL_MILLISECONDS = 100;
/** The connect timeout of 250 ms, and time for the second attempt on a loaded machine. */
const LATEST_MILLISECONDS = 450;

/** Listens without accepting, for as long as the thread is blocked. */
const BLOCKED_SERVER = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:net').createServer();
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    setTimeout(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ${BLOCKED_MILLISECONDS}), 20);
  });`;

// Guards against a connect timeout that lasts for most of the time that a caller waits.
test('a connection that is not established is given up after the connect timeout', async () => {
  const worker = new Worker(BLOCKED_SERVER, { eval: true });
  const port = await new Promise<number>((resolve) => {
    worker.once('message', resolve);
  });
  await delay(FILL_MILLISECONDS);
  const fillers = Array.from({ length: 6 }, () => net.connect(port, '127.0.0.1'));
  for (const filler of fillers) {
    filler.on('error', () => {});
  }
  await delay(FILL_MILLISECONDS);
  const endpoint = await new ScriptedEndpoint(respondOk).listen();
  const slots = new RoundRobinSlots([`127.0.0.1:${port}`, endpoint.address]);
  const gateway = await new TestGateway(slots).listen();
  try {
    const startedAt = performance.now();
    assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    const elapsed = performance.now() - startedAt;
    assert.equal(slots.reports[0]?.outcome, 'refused');
    assert.ok(elapsed < LATEST_MILLISECONDS, `answered after ${Math.round(elapsed)} ms`);
  } finally {
    gateway.close();
    endpoint.close();
    for (const filler of fillers) {
      filler.destroy();
    }
    await worker.terminate();
  }
});
