/**
 * Endpoints that send a refusal once more when the next request of the connection arrives. The copy bears the id of the
 * refused request, so that it looks like the response to that request when it is sent again.
 */
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { SlotSource } from '../src/index.js';
import { TestGateway, formatResponse } from './fixture.js';
import { RoundRobinSlots } from './round-robin-slots.js';
import { ScriptedEndpoint, type Script } from './scripted-endpoint.js';

const WORK_MILLISECONDS = 20;
/** Longer than a connection needs to be free again after a response. */
const GRANT_MILLISECONDS = 5;

/** Refuses the given number of requests and runs all others; a copy of a refusal precedes the next response. */
class RefusingEndpoint {
  /** Requests that were run. */
  readonly runs: string[] = [];

  private readonly copies = new Map<net.Socket, string>();

  constructor(private refusalsLeft: number) {}

  readonly script: Script = (socket, request) => {
    const copy = this.copies.get(socket);
    if (copy !== undefined) {
      this.copies.delete(socket);
      socket.write(copy);
    }
    if (this.refusalsLeft > 0) {
      this.refusalsLeft -= 1;
      const refusal = formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1');
      this.copies.set(socket, refusal);
      socket.write(refusal);
      return;
    }
    this.runs.push(request);
    setTimeout(() => socket.write(formatResponse(request, 'ran')), WORK_MILLISECONDS);
  };
}

interface Setup {
  readonly gateway: TestGateway;
  readonly endpoint: ScriptedEndpoint;
  readonly runs: readonly string[];
}

/** Runs a check with one address that has a new endpoint id for each attempt. */
async function withRefusals(
  refusals: number,
  route: { readonly maximumAttempts: number; readonly idempotent?: boolean },
  check: (setup: Setup) => Promise<void>,
): Promise<void> {
  const refusing = new RefusingEndpoint(refusals);
  const endpoint = await new ScriptedEndpoint(refusing.script).listen();
  const addresses = Array.from({ length: route.maximumAttempts }, () => endpoint.address);
  const slots = new RoundRobinSlots(addresses);
  const acquire: SlotSource['acquire'] = async (options) => {
    await delay(GRANT_MILLISECONDS);
    return slots.acquire(options);
  };
  const gateway = await new TestGateway({ acquire }, route).listen();
  try {
    await check({ gateway, endpoint, runs: refusing.runs });
  } finally {
    gateway.close();
    endpoint.close();
  }
}

// Guards against a request that is refused as not run while the endpoint runs it.
test('a copy of a refusal is not taken for the response when the request is sent again to the same address', async () => {
  await withRefusals(1, { maximumAttempts: 2 }, async ({ gateway, runs }) => {
    const response = await gateway.send({ id: 'r1', body: 'x' });
    assert.equal(runs.length, 1);
    assert.equal(response?.status, 200);
  });
});

// Guards against a request that must not repeat and is sent to a further endpoint while one runs it.
test('a copy of a refusal does not let a request run twice', async () => {
  await withRefusals(1, { maximumAttempts: 3 }, async ({ gateway, runs }) => {
    const response = await gateway.send({ id: 'r1', body: 'x' });
    assert.equal(runs.length, 1);
    assert.equal(response?.status, 200);
  });
});

// Guards against a history that only keeps requests that must not repeat from a connection after a refusal.
test('a copy of a refusal is not taken for the response when a request that may repeat is sent again', async () => {
  const route = { maximumAttempts: 2, idempotent: true };
  await withRefusals(1, route, async ({ gateway, runs }) => {
    const response = await gateway.send({ id: 'r1', body: 'x' });
    assert.equal(runs.length, 1);
    assert.equal(response?.status, 200);
  });
});

// Guards against state that ends with the request: its caller, or a daemon that relays it, may send the id again.
test('a copy of a refusal is not taken for the response when the caller sends the request again under its id', async () => {
  await withRefusals(1, { maximumAttempts: 1 }, async ({ gateway, runs }) => {
    assert.equal((await gateway.send({ id: 'r1', body: 'x' }))?.status, 503);
    assert.equal((await gateway.send({ id: 'r1', body: 'x' }))?.status, 200);
    assert.equal(runs.length, 1);
  });
});

// Guards against a result "not known" that only an earlier request's refusal has caused.
test('a request gets its own response behind the copy of the refusal of another one', async () => {
  await withRefusals(1, { maximumAttempts: 1 }, async ({ gateway, endpoint, runs }) => {
    assert.equal((await gateway.send({ id: 'r1', body: 'x' }))?.status, 503);
    assert.equal((await gateway.send({ id: 'r2', body: 'x' }))?.body, 'ran');
    assert.equal(runs.length, 1);
    assert.equal(endpoint.connections, 1);
    assert.equal(gateway.repeatedResponses, 1);
  });
});

// Guards against connections that are given up for good after a refusal, since new ones occupy endpoints.
test('a connection that carried a refusal serves further requests', async () => {
  const refuseFirst: Script = (socket, request, number) => {
    const response = formatResponse(request, 'ran', number === 1 ? 503 : 200);
    socket.write(number === 1 ? response.replace('Seal: s', 'Not-Run: 1') : response);
  };
  const endpoint = await new ScriptedEndpoint(refuseFirst).listen();
  const gateway = await new TestGateway(new RoundRobinSlots([endpoint.address]), {
    maximumAttempts: 1,
  }).listen();
  try {
    assert.equal((await gateway.send({ id: 'r1' }))?.status, 503);
    assert.equal((await gateway.send({ id: 'r2' }))?.status, 200);
    assert.equal((await gateway.send({ id: 'r3' }))?.status, 200);
    assert.equal(endpoint.connections, 1);
  } finally {
    gateway.close();
    endpoint.close();
  }
});
