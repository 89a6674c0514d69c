/**
 * Endpoints that answer a long upload before they have read it, without a length, and reset the connection while the upload is
 * still being written. What they sent until then is a part of a response, whose end only the reset tells from a complete one.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { Route } from '@dogwoodstall/traffic';
import { formatRequest, readId, TestGateway } from './fixture.js';
import { RoundRobinSlots } from './round-robin-slots.js';

const UPLOAD = 'x'.repeat(1_000_000);
const PART = 'a part of the answer';
/** From the answer to the reset. */
const RESET_DELAYS_MILLISECONDS = [0, 1, 2, 4, 7, 10];
const REPETITIONS = 5;

type Ending = (socket: net.Socket, answer: string) => void;

const endings: Record<string, Ending> = {
  'in the same packet': (socket, answer) => {
    socket.write(answer, () => socket.resetAndDestroy());
  },
  'in the same packet, by closing with unread bytes': (socket, answer) => {
    socket.write(answer, () => socket.destroy());
  },
};
for (const milliseconds of RESET_DELAYS_MILLISECONDS) {
  endings[`after ${milliseconds} ms`] = (socket, answer) => {
    socket.write(answer);
    setTimeout(() => socket.resetAndDestroy(), milliseconds);
  };
}

/** Answers as soon as a request begins, and reads no more of it. */
class EarlyEndpoint {
  answers = 0;

  readonly receivedBytes: number[] = [];

  private readonly server: net.Server;

  constructor(end: Ending) {
    this.server = net.createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', (chunk: Buffer) => {
        socket.pause();
        this.answers += 1;
        this.receivedBytes.push(chunk.length);
        const id = readId(chunk.toString('latin1'));
        end(socket, `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSeal: s\r\n\r\n${PART}`);
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
  }
}

async function withEarlyEndpoint(
  end: Ending,
  changes: Partial<Route>,
  check: (gateway: TestGateway, endpoint: EarlyEndpoint) => Promise<void>,
): Promise<void> {
  const endpoint = new EarlyEndpoint(end);
  const address = await endpoint.listen();
  const gateway = await new TestGateway(new RoundRobinSlots([address]), changes).listen();
  try {
    await check(gateway, endpoint);
  } finally {
    gateway.close();
    endpoint.close();
  }
}

/** Sends an upload on a connection of its own and reads the response in steps; resolves with all of it. */
async function readSlowly(gateway: TestGateway): Promise<string> {
  const socket = gateway.connect();
  socket.on('error', () => {});
  socket.pause();
  socket.write(formatRequest('POST', UPLOAD).replace('\r\n', '\r\nConnection: close\r\n'));
  let received = '';
  const ended = new Promise<void>((resolve) => {
    socket.once('end', resolve);
    socket.once('close', () => resolve());
  });
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
    socket.pause();
    setTimeout(() => socket.resume(), 20);
  });
  await delay(100);
  socket.resume();
  await ended;
  socket.destroy();
  return received;
}

for (const [name, end] of Object.entries(endings)) {
  test(`an early answer that is reset ${name} is no answer`, async () => {
    await withEarlyEndpoint(end, {}, async (gateway, endpoint) => {
      for (let count = 0; count < REPETITIONS; count += 1) {
        const response = await gateway.send({ body: UPLOAD });
        assert.equal(response?.status, 502);
        assert.ok(!response.body.includes(PART));
      }
      assert.equal(endpoint.answers, REPETITIONS);
      assert.ok(endpoint.receivedBytes.every((bytes) => bytes < UPLOAD.length));
    });
  });

  test(`a relayed early answer that is reset ${name} is no answer`, async () => {
    await withEarlyEndpoint(end, {}, async (gateway, endpoint) => {
      const entry = await new TestGateway({
        acquire: () =>
          Promise.resolve({
            kind: 'slot',
            slot: {
              endpoint: gateway.address,
              address: gateway.address,
              hedgeAfter: undefined,
              maximumIdleMilliseconds: 1000,
              viaPeer: true,
              report: () => {},
            },
          }),
      }).listen();
      try {
        for (let count = 0; count < REPETITIONS; count += 1) {
          const response = await entry.send({ body: UPLOAD });
          assert.equal(response?.status, 502);
          assert.ok(!response.body.includes(PART));
        }
      } finally {
        entry.close();
      }
      assert.equal(endpoint.answers, REPETITIONS);
    });
  });

  test(`a caller that reads slowly gets no part of an early answer that is reset ${name}`, async () => {
    await withEarlyEndpoint(end, {}, async (gateway, endpoint) => {
      const received = await readSlowly(gateway);
      assert.match(received, /^HTTP\/1\.1 502 /);
      assert.ok(!received.includes(PART));
      assert.equal(endpoint.answers, 1);
    });
  });
}
