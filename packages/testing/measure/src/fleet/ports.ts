/**
 * Finds free ports for daemons, whose addresses must be known before they start.
 */
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import * as net from 'node:net';
import * as results from '@dogwoodstall/results';

// Ports below the kernel's ephemeral range (32768 and up on Linux): otherwise an outgoing connection could
// take a port after this search and before its daemon binds it.
const FIRST_PORT = 12_000;
const END_PORT = 32_000;
const MAXIMUM_ATTEMPTS = 1000;

let nextPort = randomInt(FIRST_PORT, END_PORT);

async function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

/**
 * Returns loopback addresses whose ports are free, none of them twice in a process until the range is
 * used up. Throws `ListenFailed` when too few are free.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS && addresses.length < count; attempt += 1) {
    const port = nextPort;
    nextPort = port + 1 < END_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(port)) {
      addresses.push(`127.0.0.1:${port}`);
    }
  }
  if (addresses.length < count) {
    throw new results.FailureError('ListenFailed', `fewer than ${count} free ports were found`);
  }
  return addresses;
}
