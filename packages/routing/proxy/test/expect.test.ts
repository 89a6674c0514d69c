import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as net from 'node:net';
import { test } from 'node:test';
import { callRaw, createFleet, startBackend, startDaemon } from './fixture.js';

function formatUpload(path: string, length: number): string {
  const lines = [`POST ${path} HTTP/1.1`, 'Host: shop.test', `Content-Length: ${length}`];
  return `${lines.join('\r\n')}\r\nExpect: 100-continue\r\n\r\n`;
}

test('100 Continue for a large upload is sent only after a slot is granted', async (context) => {
  let granted = false;
  const backend = await startBackend(context, (request, response) => {
    request.resume().on('end', () => response.end('stored'));
  });
  const fleet = createFleet([backend.address]);
  let grantSlots = (): void => {};
  fleet.slotsGranted = new Promise((resolve) => {
    grantSlots = () => {
      granted = true;
      resolve();
    };
  });
  const daemon = await startDaemon(context, fleet);
  const socket = net.connect(daemon.port, '127.0.0.1');
  socket.write(formatUpload('/', 100_000));
  while (fleet.slotRequests === 0) {
    await new Promise(setImmediate);
  }
  assert.equal(socket.bytesRead, 0);
  grantSlots();
  const [first] = (await once(socket, 'data')) as [Buffer];
  assert.equal(granted, true);
  assert.match(first.toString(), /^HTTP\/1\.1 100 Continue\r\n\r\n$/);
  socket.write('x'.repeat(100_000));
  const [second] = (await once(socket, 'data')) as [Buffer];
  assert.match(second.toString(), /^HTTP\/1\.1 200/);
  socket.destroy();
});

test('a rejected upload never gets 100 Continue', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end('ok'));
  const fleet = createFleet([backend.address], { bodyLimit: 500_000 });
  const daemon = await startDaemon(context, fleet);
  const refusals = [
    { upload: formatUpload('/write', 100), result: '4001' },
    { upload: formatUpload('/write', 100_000), result: '4001' },
    { upload: formatUpload('/', 600_000), result: '2005' },
    { upload: formatUpload('/', 100).replace('shop', 'other'), result: '2007' },
  ];
  for (const { upload, result } of refusals) {
    const received = await callRaw(daemon.port, upload);
    assert.doesNotMatch(received, /100 Continue/);
    assert.match(received, new RegExp(`Dogwoodstall-Result: ${result}\r\n`));
    assert.match(received, /Connection: close\r\n/);
  }
  assert.equal(backend.requests.length, 0);
});
