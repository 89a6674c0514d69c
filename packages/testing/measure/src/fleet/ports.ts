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

// Ports are given out in turn, because a daemon binds its ports later: a port drawn at random for one
// daemon could be drawn again for another one before that.
let nextPort = randomInt(FIRST_PORT, END_PORT);

function takePort(): number {
  const port = nextPort;
  nextPort = port + 1 < END_PORT ? port + 1 : FIRST_PORT;
  return port;
}

async function tryListen(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    return server;
  } catch {
    return undefined;
  }
}

/**
 * Returns addresses on loopback that were free a moment ago; all are reserved together. Throws
 * `ListenFailed` when too few are free.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const servers: net.Server[] = [];
  const addresses: string[] = [];
  for (let tries = 0; tries < MAXIMUM_TRIES && servers.length < count; tries += 1) {
    const port = takePort();
    const server = await tryListen(port);
    if (server !== undefined) {
      servers.push(server);
      addresses.push(`127.0.0.1:${port}`);
    }
  }
  for (const server of servers) {
    server.close();
    await once(server, 'close');
  }
  if (addresses.length < count) {
    throw new results.FailureError('ListenFailed', `fewer than ${count} free ports were found`);
  }
  return addresses;
}
