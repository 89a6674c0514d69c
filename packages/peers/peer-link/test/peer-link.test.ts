import * as assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { Readable } from 'node:stream';
import { test, type TestContext } from 'node:test';
import * as results from '@dogwoodstall/results';
import { SilentAddress } from '@dogwoodstall/stand-ins';
import * as undici from 'undici';
import * as peerLink from '../src/index.js';

const DEADLINE = { timeout: 20_000 };
const FIRST = ['authority-first'];
const BOTH = ['authority-first', 'authority-second'];
const SECOND = ['authority-second'];

async function readPem(name: string): Promise<string> {
  return readFile(new URL(`../../test/certificates/${name}.pem`, import.meta.url), 'utf8');
}

async function readTls(name: string, authorities: readonly string[]): Promise<peerLink.PeerTls> {
  return {
    certificate: await readPem(name),
    key: await readPem(`${name}.key`),
    authorities: await Promise.all(authorities.map(readPem)),
  };
}

interface Pair {
  readonly server: peerLink.PeerServer;
  readonly links: peerLink.PeerLinks;
  readonly peerAddress: string;
  readonly callers: string[];
  link(name?: string): peerLink.PeerLink;
}

async function startPair(
  context: TestContext,
  clientTls: peerLink.PeerTls,
  handlers: Partial<peerLink.PeerHandlers> = {},
): Promise<Pair> {
  const callers: string[] = [];
  const server = new peerLink.PeerServer({
    tls: await readTls('daemon-b', FIRST),
    handlers: {
      summary: async (_input, caller) => {
        callers.push(caller.name);
        return { revision: 7, hasConfiguration: true };
      },
      ...handlers,
    },
    forward: (request, response, caller) => {
      response.writeHead(200, { caller: caller.name });
      request.pipe(response);
    },
  });
  const peerAddress = await server.listen('127.0.0.1', 0);
  const links = new peerLink.PeerLinks(clientTls);
  context.after(async () => {
    await links.destroy();
    await server.destroy();
  });
  const link = (name = 'daemon-b'): peerLink.PeerLink => links.linkTo({ name, peerAddress });
  return { server, links, peerAddress, callers, link };
}

const summary = { from: 'daemon-a', revision: 1 };

test(
  'the handler of a call receives the name in the certificate of the caller',
  DEADLINE,
  async (context) => {
    const pair = await startPair(context, await readTls('daemon-a', FIRST));
    const response = await pair.link().call('summary', summary);
    assert.deepEqual(response, { revision: 7, hasConfiguration: true });
    assert.deepEqual(pair.callers, ['daemon-a']);
    assert.notEqual(pair.link().lastActivityAt, undefined);
  },
);

test('a client without a certificate of the fleet is rejected', DEADLINE, async (context) => {
  const stranger = await readTls('stranger', FIRST);
  const pair = await startPair(context, stranger);
  await assert.rejects(pair.link().call('summary', summary));
  const bare = new undici.Agent({ connect: { rejectUnauthorized: false } });
  context.after(() => bare.destroy());
  const url = `https://${pair.peerAddress}/trpc/summary`;
  await assert.rejects(undici.request(url, { method: 'POST', dispatcher: bare, body: '{}' }));
  assert.deepEqual(pair.callers, []);
});

test(
  'a server with the certificate of another daemon or another fleet is rejected',
  DEADLINE,
  async (context) => {
    const pair = await startPair(context, await readTls('daemon-a', FIRST));
    const isRefused = (error: unknown): boolean => results.isFailure(error, 'PeerUnauthenticated');
    await assert.rejects(pair.link('daemon-c').call('summary', summary), isRefused);
    const other = await startPair(context, await readTls('daemon-a', ['authority-strange']));
    await assert.rejects(other.link().call('summary', summary), isRefused);
    assert.deepEqual([...pair.callers, ...other.callers], []);
  },
);

test(
  'authorities rotate with an overlap, without a restart or a failed call',
  DEADLINE,
  async (context) => {
    const pair = await startPair(context, await readTls('daemon-a', FIRST));
    const steps = [
      { server: await readTls('daemon-b', BOTH), client: await readTls('daemon-a', BOTH) },
      { server: await readTls('daemon-b-rotated', BOTH), client: await readTls('daemon-a', BOTH) },
      {
        server: await readTls('daemon-b-rotated', BOTH),
        client: await readTls('daemon-a-rotated', BOTH),
      },
      {
        server: await readTls('daemon-b-rotated', SECOND),
        client: await readTls('daemon-a-rotated', SECOND),
      },
    ];
    for (const step of steps) {
      pair.server.reload(step.server);
      pair.links.reload(step.client);
      await pair.link().call('summary', summary);
    }
    pair.links.reload(await readTls('daemon-a', BOTH));
    await assert.rejects(pair.link().call('summary', summary));
  },
);

test(
  'a message that exceeds its limits is rejected before its handler runs',
  DEADLINE,
  async (context) => {
    const reported: unknown[] = [];
    const pair = await startPair(context, await readTls('daemon-a', FIRST), {
      reportCrash: async (input) => {
        reported.push(input);
        return { accepted: 0 };
      },
    });
    const isInvalid = (error: unknown): boolean => results.isFailure(error, 'PeerMessageInvalid');
    const many = Array.from({ length: 101 }, () => ({}));
    await assert.rejects(
      pair.link().call('reportCrash', { from: 'daemon-a', reports: many }),
      isInvalid,
    );
    const large = [{ text: 'a'.repeat(3_000_000) }];
    await assert.rejects(pair.link().call('reportCrash', { from: 'daemon-a', reports: large }));
    assert.deepEqual(reported, []);
  },
);

test(
  'a handler that does not respond ends in a timeout, and a failure keeps its result code',
  DEADLINE,
  async (context) => {
    const pair = await startPair(context, await readTls('daemon-a', FIRST), {
      pushChange: () => new Promise(() => {}),
      activateRecords: async () => {
        throw new results.FailureError('NotReady');
      },
    });
    const push = { from: 'daemon-a', revision: 1 };
    await assert.rejects(pair.link().call('pushChange', push, { milliseconds: 50 }), (error) =>
      results.isFailure(error, 'PeerTimeout'),
    );
    const activate = { origin: 'daemon-a', epoch: 1, recordCount: 0 };
    await assert.rejects(pair.link().call('activateRecords', activate), (error) =>
      results.isFailure(error, 'NotReady'),
    );
  },
);

test(
  'control calls complete while forwarded bodies occupy their own connections',
  DEADLINE,
  async (context) => {
    const pair = await startPair(context, await readTls('daemon-a', FIRST));
    const link = pair.link();
    let finish = (): void => {};
    const finished = new Promise<void>((resolve) => {
      finish = resolve;
    });
    async function* body(): AsyncGenerator<Buffer> {
      yield Buffer.from('first');
      await finished;
      yield Buffer.from('last');
    }
    const forwards = Array.from({ length: 20 }, () =>
      undici.request(`${link.baseUrl}/x`, {
        method: 'POST',
        dispatcher: link.dispatcher,
        body: Readable.from(body()),
      }),
    );
    const responses = await Promise.all(forwards);
    await link.call('summary', summary);
    finish();
    for (const response of responses) {
      assert.equal(response.headers.caller, 'daemon-a');
      assert.equal(await response.body.text(), 'firstlast');
    }
  },
);

test(
  'calls are counted by client and server, and bytes by the server',
  DEADLINE,
  async (context) => {
    const pair = await startPair(context, await readTls('daemon-a', FIRST));
    await pair.link().call('summary', summary);
    const { receivedBytes, sentBytes } = pair.server.traffic;
    await pair.link().call('summary', summary);
    const { traffic } = pair.server;
    assert.equal(traffic.calls, 2);
    assert.ok(traffic.connections >= 1 && traffic.connections <= 2);
    assert.equal(pair.links.callCounts.get('summary'), 2);
    assert.ok(traffic.receivedBytes > receivedBytes && traffic.sentBytes > sentBytes);
    await pair.links.destroy();
    assert.ok(
      pair.server.traffic.receivedBytes >= traffic.receivedBytes,
      'bytes of closed connections are included',
    );
  },
);

// Guards against calls that wait for connections to a daemon that is gone, one after the other, long after their timeout.
test(
  'calls to a daemon that is gone without a trace end with their timeout, and are counted until they left the queue',
  DEADLINE,
  async (context) => {
    const silent = await SilentAddress.open();
    const links = new peerLink.PeerLinks(await readTls('daemon-a', FIRST));
    context.after(async () => {
      silent.close();
      await links.destroy();
    });
    const link = links.linkTo({ name: 'daemon-b', peerAddress: silent.address });
    const startedAt = performance.now();
    const calls = Array.from({ length: 16 }, () =>
      assert.rejects(link.call('summary', summary, { milliseconds: 500 }), (error) =>
        results.isFailure(error, 'PeerTimeout'),
      ),
    );
    await Promise.all(calls);
    const milliseconds = performance.now() - startedAt;
    assert.ok(milliseconds < 800, `${milliseconds} ms`);
    await assert.rejects(link.call('summary', summary), /too many calls/);
  },
);
