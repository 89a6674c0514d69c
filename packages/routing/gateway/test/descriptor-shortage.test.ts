/**
 * Requests while descriptors are short.
 */
import * as assert from 'node:assert/strict';
import net from 'node:net';
import { mock, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { ConnectionLimits } from '../src/index.js';
import { formatRequest, formatResponse } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

const WORK_MILLISECONDS = 300;
const connectionLimits: ConnectionLimits = {
  target: 3,
  maximum: 4,
  refusable: 2,
  idleEndpointConnections: 1,
};
const respondSlowly: Script = (socket, request) =>
  setTimeout(() => socket.write(formatResponse(request, 'slow')), WORK_MILLISECONDS);

/** Lets the system have no descriptor for the given number of connections. */
async function withoutDescriptors(failures: number, check: () => Promise<void>): Promise<void> {
  const { connect } = net;
  let failed = 0;
  const mocked = mock.method(net, 'connect', (options: net.NetConnectOpts) => {
    if (failed >= failures) {
      return connect(options);
    }
    failed += 1;
    const error = Object.assign(new Error('connect EMFILE'), { code: 'EMFILE' });
    return new net.Socket().destroy(error);
  });
  try {
    await check();
  } finally {
    mocked.mock.restore();
  }
}

// Guards against a lack of descriptors that counts as a failure of the endpoint.
test('an endpoint to which there was no descriptor for a connection is not reported as one that refused it', async () => {
  await withGateway([respondOk], {}, async ({ gateway, slots, endpoints }) => {
    const excluded: string[][] = [];
    slots.setBeforeDecision((ask) => excluded.push([...ask.excluded]));
    await withoutDescriptors(1, async () => {
      assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    });
    assert.deepEqual(
      slots.reports.map(({ outcome }) => outcome),
      ['unused', 'success'],
    );
    assert.deepEqual(excluded, [[], []], 'the endpoint may be used again');
    assert.equal(slots.acquisitions[1]?.repeated, false);
    assert.equal(endpoints[0]?.requests.length, 1);
    assert.equal(gateway.descriptorEvents.get('connect-failed'), 1);
  });
});

test('a request for which there is no descriptor at all is refused as not run', async () => {
  await withGateway([respondOk], {}, async ({ gateway, slots, endpoints }) => {
    await withoutDescriptors(Infinity, async () => {
      const response = await gateway.send({ body: 'x' });
      assert.equal(response?.status, 503);
      assert.ok(Number(response?.headers['retry-after']) > 0);
    });
    assert.equal(gateway.decisions[0]?.result, 'DaemonFull');
    assert.ok(slots.reports.every(({ outcome }) => outcome === 'unused'));
    assert.equal(endpoints[0]?.requests.length, 0);
  });
});

// Guards against a request that gets no response because its connection, which had just been accepted, seems to be idle.
test('a lack of descriptors closes no connection whose first request has not been read yet', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    await withoutDescriptors(1, async () => {
      const responses = await Promise.all(
        Array.from({ length: 8 }, (_, index) => gateway.send({ id: `r${index}`, body: 'x' })),
      );
      assert.deepEqual(
        responses.map((response) => response?.status),
        Array.from(responses, () => 200),
      );
    });
    assert.equal(gateway.descriptorEvents.get('connect-failed'), 1);
  });
});

// Guards against a shortage that lasts because idle connections stay open.
test('a lack of descriptors closes idle connections', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    const idle = gateway.connect().on('error', () => {});
    const ended = new Promise((resolve) => {
      idle.once('end', () => resolve(true)).resume();
    });
    await delay(100);
    await withoutDescriptors(1, async () => {
      assert.equal((await gateway.send({ body: 'x' }))?.status, 200);
    });
    assert.equal(await Promise.race([ended, delay(2000)]), true);
    idle.destroy();
  });
});

// Guards against requests in flight that are closed for new ones, and against refusals without a response.
for (const stopping of [false, true]) {
  test(`a request beyond the maximum is refused with a response, and those in flight are served${stopping ? ', during a planned stop' : ''}`, async () => {
    await withGateway([respondSlowly], { connectionLimits }, async ({ gateway, endpoints }) => {
      if (stopping) {
        gateway.server.beginStop(5000);
      }
      const running = [
        gateway.send({ id: 'r1', body: 'x' }),
        gateway.send({ id: 'r2', body: 'x' }),
      ];
      await delay(WORK_MILLISECONDS / 3);
      const refused = await gateway.send({ id: 'r3', body: 'x' });
      assert.equal(refused?.status, 503);
      assert.equal(refused?.headers.connection, 'close');
      assert.ok(Number(refused?.headers['retry-after']) > 0);
      assert.equal(JSON.parse(refused?.body ?? '{}').name, 'DaemonFull');
      for (const response of await Promise.all(running)) {
        assert.equal(response?.body, 'slow');
      }
      assert.equal(endpoints[0]?.requests.length, 2);
    });
  });
}

// Guards against connections to endpoints that are opened anew for each request.
test('between target and maximum, a connection to an endpoint stays open for the next request', async () => {
  const limits = { ...connectionLimits, target: 3, maximum: 20 };
  await withGateway([respondOk], { connectionLimits: limits }, async ({ gateway, endpoints }) => {
    const idle = Array.from({ length: 6 }, () => gateway.connect());
    await delay(50);
    for (let count = 0; count < 3; count += 1) {
      assert.equal((await gateway.send({ id: `r${count}`, body: 'x' }))?.status, 200);
      await delay(150);
    }
    assert.equal(endpoints[0]?.connections, 1);
    for (const socket of idle) {
      socket.destroy();
    }
  });
});

// Guards against uploads that are taken for idle connections, and against idle ones that outlive a request.
test('idle connections are closed for a request, and an upload that has begun is not', async () => {
  await withGateway([respondOk], { connectionLimits }, async ({ gateway, endpoints }) => {
    const upload = gateway.connect();
    let response = '';
    upload.on('data', (chunk) => {
      response += String(chunk);
    });
    const text = formatRequest('POST', 'x'.repeat(100));
    upload.write(text.slice(0, -50));
    await delay(100);
    const closed: number[] = [];
    const idle = Array.from({ length: 8 }, (_, index) =>
      gateway
        .connect()
        .on('error', () => {})
        .on('end', () => closed.push(index))
        .resume(),
    );
    await delay(100);
    assert.equal((await gateway.send({ id: 'r2', body: 'x' }))?.status, 200);
    assert.ok(closed.length > 0);
    for (const index of closed) {
      idle[index]?.write(text);
    }
    upload.write(text.slice(-50));
    await delay(100);
    assert.match(response, /^HTTP\/1.1 200 /);
    assert.equal(endpoints[0]?.requests.length, 2, 'requests that cross the close are not run');
    upload.destroy();
    for (const socket of idle) {
      socket.destroy();
    }
  });
});
