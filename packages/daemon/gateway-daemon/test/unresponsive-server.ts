/**
 * A server that accepts connections and never responds, as the system does for a suspended process.
 */
import * as net from 'node:net';
import type { TestContext } from 'node:test';

/** Listens until the test has ended; resolves with `host:port`. */
export async function listenWithoutResponse(context: TestContext): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => sockets.add(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}
