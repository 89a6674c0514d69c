import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { findFreeAddresses } from '../src/fleet/ports.js';

// The usual begin of the range from which Linux takes ports of outgoing connections.
const FIRST_OUTGOING_PORT = 32_768;

test('ports of daemons can not be taken by outgoing connections before they start', async () => {
  const addresses = [...(await findFreeAddresses(40)), ...(await findFreeAddresses(40))];
  assert.equal(new Set(addresses).size, 80);
  for (const address of addresses) {
    assert.ok(Number(address.split(':')[1]) < FIRST_OUTGOING_PORT, address);
  }
});
