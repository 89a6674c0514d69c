/**
 * Requests whose connection is established while the process is suspended.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { EndpointConnection } from '../src/endpoint-connection.js';

const SUSPENSION_MILLISECONDS = 1500;
const OBSERVATION_MILLISECONDS = 300;

/** Blocks this process as SIGSTOP does: clocks go on, while timers and network events wait. */
function suspendProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, SUSPENSION_MILLISECONDS);
}

// Guards against a resumed daemon that sends a request to an endpoint that left meanwhile, or after its deadline.
test('a request whose connection was established during a suspension is not sent', async () => {
  let arrivals = 0;
  const server = http.createServer((_request, response) => {
    arrivals += 1;
    response.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  let openSockets = 0;
  const { port } = server.address() as net.AddressInfo;
  const connection = new EndpointConnection(`127.0.0.1:${port}`, {
    requestIdHeader: 'request-id',
    onRepeatedResponse: () => {},
    onClosed: () => {},
    onSocketOpened: () => {
      openSockets += 1;
      // The system call that connects is made in the tick between these two.
      process.nextTick(() => process.nextTick(suspendProcess));
    },
    onSocketClosed: () => {
      openSockets -= 1;
    },
  });
  let wasStarted = false;
  let failure: Error | undefined;
  connection.dispatch(
    'r1',
    { path: '/', method: 'GET' },
    {
      onRequestStart: () => {
        wasStarted = true;
      },
      onResponseStart: () => {},
      onResponseData: () => {},
      onResponseEnd: () => {},
      onResponseError: (_controller, error) => {
        failure = error;
      },
    },
  );
  try {
    await delay(OBSERVATION_MILLISECONDS);
    await delay(OBSERVATION_MILLISECONDS);
    assert.equal(arrivals, 0);
    assert.equal(wasStarted, false);
    assert.match(String(failure), /suspended/);
    assert.equal(openSockets, 0);
  } finally {
    connection.destroy();
    server.close();
    server.closeAllConnections();
  }
});
