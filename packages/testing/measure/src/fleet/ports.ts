/**
 * Free ports for daemons, whose addresses must be known to the others before they start.
 */
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import * as net from 'node:net';
import * as results from '@dogwoodstall/results';

// Below the range from which the kernel takes the ports of outgoing connections, one of which could
// otherwise take a port between this search and the start of its daemon.
const FIRST_PORT = 12_000;
const END_PORT = 32_000;
const MAXIMUM_TRIES = 1000;

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
 * Returns addresses on loopback that were free a moment ago; this process gets each only once. Throws
 * `ListenFailed` when too few are free.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  for (let tries = 0; tries < MAXIMUM_TRIES && addresses.length < count; tries += 1) {
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
