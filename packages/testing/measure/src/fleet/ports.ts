/**
 * Free ports for daemons, whose addresses must be known to the others before they start.
 */
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import * as net from 'node:net';

// Below the range that the system uses for outgoing connections: one of those could take a port
// between its choice and the start of the daemon.
const FIRST_PORT = 10_000;
const END_PORT = 32_000;

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

/** Returns addresses on loopback that were free a moment ago; this process gets each only once. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = nextPort;
    nextPort = port + 1 < END_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(port)) {
      addresses.push(`127.0.0.1:${port}`);
    }
  }
  return addresses;
}
