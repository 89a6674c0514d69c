import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { SilentAddress } from '../src/index.js';

function connect(address: string): { readonly events: string[]; destroy(): void } {
  const [host, port] = address.split(':');
  const events: string[] = [];
  const socket = net.connect({ host: host as string, port: Number(port) });
  socket.on('connect', () => events.push('connect'));
  socket.on('error', () => events.push('error'));
  return { events, destroy: () => socket.destroy() };
}

// Guards against tests of silent addresses that pass because the address accepts or refuses connections.
test('a silent address neither accepts nor refuses connections until it is closed', async () => {
  const silent = await SilentAddress.open();
  const before = connect(silent.address);
  await delay(500);
  assert.deepEqual(before.events, []);
  before.destroy();
  silent.close();
  await delay(100);
  const after = connect(silent.address);
  await delay(100);
  assert.deepEqual(after.events, ['error']);
});
