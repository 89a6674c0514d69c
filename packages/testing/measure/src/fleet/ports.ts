/**
 * Free ports for daemons, whose addresses must be known to the others before they start.
 */
import { once } from 'node:events';
import * as net from 'node:net';

/** Returns addresses on loopback that were free a moment ago; all are reserved together. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const addresses: string[] = [];
  for (const server of servers) {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    addresses.push(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
  }
  for (const server of servers) {
    server.close();
    await once(server, 'close');
  }
  return addresses;
}
