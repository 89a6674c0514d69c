import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { findFreeAddresses } from '../src/fleet/ports.js';

// Default start of the ephemeral port range of Linux.
const FIRST_EPHEMERAL_PORT = 32_768;

test('ports of daemons are below the ephemeral range, so that no outgoing connection takes them', async () => {
  const addresses = [...(await findFreeAddresses(40)), ...(await findFreeAddresses(40))];
  assert.equal(new Set(addresses).size, 80);
  for (const address of addresses) {
    assert.ok(Number(address.split(':')[1]) < FIRST_EPHEMERAL_PORT, address);
  }
});
