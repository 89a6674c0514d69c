/**
 * Tokens of organisations: who is served, what endpoints learn of it, and that a token ends where the gateway does.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Organisation, digestToken } from '@dogwoodstall/traffic';
import { TestGateway, formatResponse } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { respondOk, withGateway } from './with-gateway.js';

const TOKEN = 'token-of-acme';

function createOrganisation(
  name: string,
  tokens: readonly string[],
  priority?: number,
): Organisation {
  return {
    name,
    tokenDigests: tokens.map(digestToken),
    requestsPerSecond: 0,
    burst: 0,
    ...(priority !== undefined && { priority }),
  };
}

const acme = createOrganisation('acme', [TOKEN]);

/** Sends raw bytes on a connection of their own and returns the response. */
function sendRaw(gateway: TestGateway, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = gateway.connect();
    let response = '';
    socket.on('data', (chunk) => {
      response += String(chunk);
      if (response.includes('\r\n\r\n')) {
        resolve(response);
        socket.destroy();
      }
    });
    socket.on('error', () => resolve(response));
    socket.write(text);
  });
}

test('the endpoint gets the name of the organisation and neither the token nor what the caller claims to be', async () => {
  await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
    gateway.setOrganisations(2, [acme]);
    const requests = [
      `GET /offers/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nToken: ${TOKEN}\r\n` +
        'Organisation: other\r\nORGANISATION: third\r\nConnection: keep-alive, organisation\r\n\r\n',
      `POST /offers/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r2\r\ntOkEn: ${TOKEN}\r\n` +
        'Transfer-Encoding: chunked\r\nTrailer: Organisation\r\n\r\n2\r\nhi\r\n0\r\nOrganisation: other\r\n\r\n',
    ];
    for (const [index, text] of requests.entries()) {
      assert.match(await sendRaw(gateway, text), /^HTTP\/1.1 200 /);
      const received = endpoints[0]?.requests[index] ?? '';
      const organisations = [...received.matchAll(/^organisation: (.*)\r$/gim)].map(
        ([, name]) => name,
      );
      assert.deepEqual(organisations, ['acme']);
      assert.doesNotMatch(received, /token|other|third/i);
    }
  });
});

test('a request without a token, with an unknown one or with two is refused before it reaches an endpoint', async () => {
  await withGateway([respondOk], {}, async ({ gateway, slots }) => {
    gateway.setOrganisations(2, [acme]);
    const headerSets: Record<string, string>[] = [{}, { token: 'unknown' }, { token: '' }];
    for (const headers of headerSets) {
      const response = await gateway.send({ headers, body: 'x' });
      assert.equal(response?.status, 401);
      assert.equal(response?.headers['dogwoodstall-result'], '2008');
    }
    const twice = `GET /offers/1 HTTP/1.1\r\nHost: shop.example\r\nToken: ${TOKEN}\r\nToken: ${TOKEN}\r\n\r\n`;
    assert.match(await sendRaw(gateway, twice), /^HTTP\/1.1 401 /);
    assert.equal(slots.acquisitions.length, 0);
    const logged = JSON.stringify(gateway.decisions);
    assert.doesNotMatch(logged, /unknown|token-of/);
  });
});

test('a token is revoked and added by versions, also on a connection that is kept', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    const send = async (token: string): Promise<number | undefined> =>
      (await gateway.send({ headers: { token } }))?.status;
    gateway.setOrganisations(2, [acme]);
    assert.deepEqual([await send(TOKEN), await send('second')], [200, 401]);
    gateway.setOrganisations(3, [createOrganisation('acme', ['second'])]);
    assert.deepEqual([await send(TOKEN), await send('second')], [401, 200]);
  });
});

test('an anonymous route needs no token, and a token sent to it is not passed on', async () => {
  await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
    gateway.setOrganisations(2, [acme]);
    const headerSets: Record<string, string>[] = [{}, { token: 'unknown' }, { token: TOKEN }];
    for (const headers of headerSets) {
      assert.equal((await gateway.send({ headers, path: '/open/1' }))?.status, 200);
    }
    const received = endpoints[0]?.requests ?? [];
    assert.deepEqual(
      received.map((text) => /^organisation: (.*)\r$/im.exec(text)?.[1]),
      [undefined, undefined, 'acme'],
    );
    assert.doesNotMatch(received.join(''), /token/i);
  });
});

test('without organisations headers are forwarded as before', async () => {
  await withGateway([respondOk], {}, async ({ gateway, endpoints }) => {
    const headers = { token: TOKEN, organisation: 'other' };
    assert.equal((await gateway.send({ headers }))?.status, 200);
    assert.match(endpoints[0]?.requests[0] ?? '', /token: token-of-acme/i);
    assert.deepEqual(gateway.usage.admitted, []);
  });
});

test('while no configuration is known, a request is refused as not run and not as unknown', async () => {
  await withGateway([respondOk], {}, async ({ gateway }) => {
    gateway.setRoutesKnown(false);
    assert.equal((await gateway.send({ headers: { token: TOKEN } }))?.status, 503);
  });
});

test('the priority of the organisation goes before that of the route', async () => {
  await withGateway([respondOk], { priority: 2 }, async ({ gateway, slots }) => {
    gateway.setOrganisations(2, [
      createOrganisation('acme', ['a'], 1),
      createOrganisation('other', ['b'], 0),
      createOrganisation('third', ['c']),
    ]);
    for (const token of ['a', 'b', 'c']) {
      await gateway.send({ headers: { token } });
    }
    const [acmeRequest, other, third] = slots.acquisitions;
    assert.ok((other?.priority ?? 0) < (acmeRequest?.priority ?? 0));
    assert.equal(third?.priority, 2);
    assert.equal(acmeRequest?.organisation, 'acme');
  });
});

test('a request beyond the usage cap is refused at once with the time to return, and reaches no endpoint', async () => {
  await withGateway([respondOk], {}, async ({ gateway, slots }) => {
    gateway.setOrganisations(2, [acme]);
    gateway.refuseUsage(700);
    const response = await gateway.send({ headers: { token: TOKEN }, body: 'x' });
    assert.equal(response?.status, 429);
    assert.equal(response?.headers['retry-after'], '0.7');
    assert.equal(response?.headers['dogwoodstall-result'], '3004');
    assert.equal(slots.acquisitions.length, 0);
    assert.equal(gateway.decisions.at(-1)?.organisation, 'acme');
  });
});

const reset: Script = (socket) => socket.resetAndDestroy();
const shed: Script = (socket, request) =>
  socket.write(formatResponse(request, '', 503).replace('Seal: s', 'Not-Run: 1'));

test('usage is given back only if no endpoint has got the request', async () => {
  for (const [script, givenBack] of [
    [respondOk, 0],
    [reset, 0],
    [shed, 0],
  ] as const) {
    await withGateway([script], { maximumAttempts: 1 }, async ({ gateway }) => {
      gateway.setOrganisations(2, [acme]);
      await gateway.send({ headers: { token: TOKEN }, body: 'x' });
      assert.equal(gateway.usage.givenBack, givenBack);
    });
  }
  const refusingSlots = {
    acquire: () =>
      Promise.resolve({ kind: 'refused', reason: 'overload', retryAfter: 100 } as const),
  };
  const gateway = await new TestGateway(refusingSlots).listen();
  try {
    gateway.setOrganisations(2, [acme]);
    assert.equal((await gateway.send({ headers: { token: TOKEN } }))?.status, 503);
    assert.equal(gateway.usage.givenBack, 1);
  } finally {
    gateway.close();
  }
});

test('a relayed request keeps its organisation, and its usage is counted once', async () => {
  await withGateway([respondOk], {}, async ({ gateway: peer, endpoints }) => {
    const slots = {
      acquire: () =>
        Promise.resolve({
          kind: 'slot',
          slot: {
            endpoint: 'peer',
            address: peer.address,
            hedgeAfter: undefined,
            maximumIdleMilliseconds: 1000,
            viaPeer: true,
            report: () => {},
          },
        } as const),
    };
    const entry = await new TestGateway(slots).listen();
    try {
      entry.setOrganisations(2, [acme]);
      peer.setOrganisations(2, [acme]);
      assert.equal((await entry.send({ headers: { token: TOKEN }, body: 'x' }))?.status, 200);
      assert.match(endpoints[0]?.requests[0] ?? '', /^organisation: acme\r$/im);
      assert.doesNotMatch(endpoints[0]?.requests[0] ?? '', /token|relay/i);
      assert.deepEqual([entry.usage.admitted, peer.usage.admitted], [['acme'], []]);
    } finally {
      entry.close();
    }
  });
});

test('a caller that claims to relay for an organisation is refused like any other without a token', async () => {
  await withGateway([respondOk], {}, async ({ gateway, slots }) => {
    gateway.setOrganisations(2, [acme]);
    gateway.rejectRelays();
    const headers = {
      'dogwoodstall-relay': '1 first f0',
      'dogwoodstall-relay-organisation': 'acme',
    };
    assert.equal((await gateway.send({ headers }))?.status, 401);
    assert.equal(slots.acquisitions.length, 0);
  });
});
