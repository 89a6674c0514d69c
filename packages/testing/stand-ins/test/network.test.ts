import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as fileSystem from 'node:fs/promises';
import * as http from 'node:http';
import * as net from 'node:net';
import * as operatingSystem from 'node:os';
import * as path from 'node:path';
import { test } from 'node:test';
import * as tls from 'node:tls';
import * as undici from 'undici';
import * as standIns from '../src/index.js';

async function listenOn(server: net.Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

async function waitForClose(socket: net.Socket): Promise<void> {
  await new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
}

interface EchoContext {
  readonly link: standIns.FaultLink;
  readonly received: () => string;
  connect(): net.Socket;
}

async function withEchoServer(run: (echo: EchoContext) => Promise<void>): Promise<void> {
  let received = '';
  const server = net.createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
      socket.write(bytes);
    });
  });
  const link = new standIns.FaultLink('link', await listenOn(server));
  await link.start();
  const { host, port } = standIns.parseAddress(link.address);
  const connect = (): net.Socket => net.connect({ host, port }).on('error', () => undefined);
  try {
    await run({ link, received: () => received, connect });
  } finally {
    await link.stop();
    server.close();
  }
}

test('dropping bytes in one direction does not affect the other direction', async () => {
  await withEchoServer(async ({ link, received, connect }) => {
    const socket = connect();
    socket.write('one');
    assert.equal(String((await once(socket, 'data'))[0]), 'one');
    link.setFaults({ dropBackward: true });
    let responded = false;
    socket.on('data', () => {
      responded = true;
    });
    socket.write('two');
    while (!responded && link.droppedBytes < 'two'.length) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    assert.equal(responded, false);
    assert.equal(received(), 'onetwo');
    link.resetConnections();
    await waitForClose(socket);
  });
});

test('resetConnections resets open connections and the fault refuse resets new ones', async () => {
  await withEchoServer(async ({ link, connect }) => {
    const socket = connect();
    socket.write('one');
    await once(socket, 'data');
    link.resetConnections();
    await waitForClose(socket);
    assert.equal(socket.errored instanceof Error, true);
    link.setFaults({ refuse: true });
    const refused = connect();
    await waitForClose(refused);
    assert.equal(refused.errored instanceof Error, true);
  });
});

test('delay and bandwidth limit slow the transfer down and lose no bytes', async () => {
  await withEchoServer(async ({ link, connect }) => {
    link.setFaults({ delayForwardMilliseconds: 50, bytesPerSecond: 100_000 });
    const startedAt = performance.now();
    const socket = connect();
    socket.end(Buffer.alloc(10_000, 'x'));
    let bytes = 0;
    for await (const chunk of socket) {
      bytes += (chunk as Buffer).length;
    }
    assert.equal(bytes, 10_000);
    // 50 ms of delay plus 100 ms for 10,000 bytes at 100,000 bytes/s.
    assert.ok(performance.now() - startedAt >= 140);
  });
});

test('a daemon that is not ready receives no new connections', async () => {
  const ready = [true, true];
  const servers = ready.map((_, index) =>
    http.createServer((request, response) => {
      const isCheck = request.url?.startsWith('/.well-known') === true;
      response.statusCode = !isCheck || ready[index] === true ? 200 : 503;
      response.end(String(index));
    }),
  );
  const targets = await Promise.all(servers.map(listenOn));
  const balancer = new standIns.LoadBalancerStandIn({ targets, pollMilliseconds: 10 });
  await balancer.start();
  const requestOnNewConnection = async (): Promise<string> => {
    const response = await undici.request(`http://${balancer.address}/`, {
      headers: { connection: 'close' },
    });
    return response.body.text();
  };
  try {
    const first = [await requestOnNewConnection(), await requestOnNewConnection()];
    assert.deepEqual(first.sort(), ['0', '1']);
    ready[0] = false;
    while (balancer.readyTargets.size > 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    assert.deepEqual([await requestOnNewConnection(), await requestOnNewConnection()], ['1', '1']);
  } finally {
    await balancer.stop();
    servers.forEach((server) => server.close());
  }
});

test('a change of the list of VMs is visible only after the lag', async () => {
  const list = new standIns.VmListStandIn(100);
  await list.start();
  const count = async (): Promise<number> => {
    const response = await undici.request(`http://${list.address}/machines`);
    return ((await response.body.json()) as { machines: unknown[] }).machines.length;
  };
  try {
    const setAt = performance.now();
    list.setVms([
      { name: 'd1', zone: 'a', region: 'r', peerAddress: '127.0.0.1:1', state: 'live' },
    ]);
    while ((await count()) === 0) {
      assert.ok(performance.now() - setAt < 10_000);
    }
    assert.ok(performance.now() - setAt >= 100);
  } finally {
    await list.stop();
  }
});

test('a certificate of another authority is rejected', async () => {
  const directory = await fileSystem.mkdtemp(path.join(operatingSystem.tmpdir(), 'certificates-'));
  try {
    const allCredentials = await Promise.all(
      ['one', 'two'].map(async (name) => {
        const authorityDirectory = path.join(directory, name);
        await fileSystem.mkdir(authorityDirectory);
        const authority = await standIns.CertificateAuthority.create(authorityDirectory);
        const files = await authority.issue('daemon');
        const [cert, key, ca] = await Promise.all(
          [files.certificateFile, files.keyFile, files.authorityFile].map((file) =>
            fileSystem.readFile(file),
          ),
        );
        return { cert, key, ca };
      }),
    );
    const server = tls.createServer({ ...allCredentials[0], requestCert: true }, (socket) =>
      socket.end('y'),
    );
    server.on('tlsClientError', () => undefined);
    const { port } = standIns.parseAddress(await listenOn(server));
    const outcomes = await Promise.all(
      allCredentials.map(async (credentials) => {
        const socket = tls.connect({
          ...credentials,
          ca: allCredentials[0]?.ca,
          host: '127.0.0.1',
          port,
        });
        return new Promise<string>((resolve) => {
          socket.once('data', () => resolve('accepted'));
          socket.on('error', () => socket.destroy());
          socket.once('close', () => resolve('rejected'));
        });
      }),
    );
    server.close();
    assert.deepEqual(outcomes, ['accepted', 'rejected']);
  } finally {
    await fileSystem.rm(directory, { recursive: true });
  }
});
