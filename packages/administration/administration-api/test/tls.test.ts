import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import type * as http from 'node:http';
import * as https from 'node:https';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import * as selfsigned from 'selfsigned';
import type { Credentials } from '../src/index.js';
import { tokens } from './first-configuration.js';
import { Fixture } from './fixture.js';

async function createCredentials(): Promise<Credentials> {
  const name = [{ name: 'commonName', value: 'administration' }];
  const extensions = [
    { name: 'subjectAltName' as const, altNames: [{ type: 7 as const, ip: '127.0.0.1' }] },
  ];
  const pems = await selfsigned.generate(name, { extensions });
  return { certificate: pems.cert, key: pems.private };
}

async function callWith(credentials: Credentials, port: number): Promise<number> {
  const request = https.get(`https://127.0.0.1:${port}/v1/status`, {
    agent: false,
    ca: credentials.certificate,
    headers: { authorization: `Bearer ${tokens.operator}` },
  });
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  response.resume();
  return response.statusCode ?? 0;
}

test('renewed credentials apply without a restart, and invalid ones do not replace them', async () => {
  const old = await createCredentials();
  const renewed = await createCredentials();
  let current = old;
  const { api } = new Fixture({ readCredentials: async () => current });
  const { port } = await api.listen();
  try {
    assert.equal(await callWith(old, port), 200);
    current = renewed;
    await api.reloadTls();
    assert.equal(await callWith(renewed, port), 200);
    await assert.rejects(callWith(old, port));
    current = { certificate: 'broken', key: 'broken' };
    await assert.rejects(api.reloadTls(), (error) => results.isFailure(error, 'KeyFileInvalid'));
    assert.equal(await callWith(renewed, port), 200);
  } finally {
    await api.close();
  }
});

test('listening on an address in use fails with its result code', async () => {
  const first = new Fixture();
  const { port } = await first.api.listen();
  const second = new Fixture({ port });
  await assert.rejects(second.api.listen(), (error) => results.isFailure(error, 'ListenFailed'));
  await first.stop();
});
