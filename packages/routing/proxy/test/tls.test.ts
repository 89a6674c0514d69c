import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as tls from 'node:tls';
import { test } from 'node:test';
import * as selfsigned from 'selfsigned';
import { createFleet, startBackend, startDaemon } from './fixture.js';
import type { TlsCredentials } from '../src/index.js';

async function createCredentials(name: string): Promise<TlsCredentials> {
  const pems = await selfsigned.generate([{ name: 'commonName', value: name }]);
  return { certificate: pems.cert, key: pems.private };
}

async function connect(port: number): Promise<tls.TLSSocket> {
  const socket = tls.connect({ port, host: '127.0.0.1', rejectUnauthorized: false });
  await once(socket, 'secureConnect');
  return socket;
}

test('a new certificate applies to new connections without a restart or closing old connections', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const credentials = await createCredentials('first.test');
  const daemon = await startDaemon(context, createFleet([backend.address], { tls: credentials }));
  const old = await connect(daemon.port);
  daemon.entry.reloadTls(await createCredentials('second.test'));
  const renewed = await connect(daemon.port);
  assert.equal(old.getPeerCertificate().subject.CN, 'first.test');
  assert.equal(renewed.getPeerCertificate().subject.CN, 'second.test');
  old.write('GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n');
  const [received] = (await once(old, 'data')) as [Buffer];
  assert.match(received.toString(), /^HTTP\/1.1 200 /);
  old.destroy();
  renewed.destroy();
});
