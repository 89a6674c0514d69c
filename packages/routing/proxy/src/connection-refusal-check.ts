/**
 * Distinguishes a crashed backend server from a broken connection: after a crash, the next connection
 * is refused. Without this check, a request that crashes an idle server would show up as a single
 * reset and could crash several more servers before other traffic reveals that they are down.
 */
import * as net from 'node:net';

/** Connection timeout of the check; it delays the caller's failure response by as much. */
const CHECK_MILLISECONDS = 100;

function isRefused(address: string): Promise<boolean> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(address.slice(separator + 1)) });
    const timer = setTimeout(() => socket.destroy(), CHECK_MILLISECONDS);
    let refused = false;
    socket.on('connect', () => socket.destroy());
    socket.on('error', (error: NodeJS.ErrnoException) => {
      refused = error.code === 'ECONNREFUSED';
    });
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(refused);
    });
  });
}

/** Checks whether backend servers refuse connections. */
export class ConnectionRefusalCheck {
  private readonly running = new Map<string, Promise<boolean>>();

  /** Returns whether a server refuses connections; concurrent checks of one server share a result. */
  check(address: string): Promise<boolean> {
    let check = this.running.get(address);
    if (check === undefined) {
      check = isRefused(address).finally(() => this.running.delete(address));
      this.running.set(address, check);
    }
    return check;
  }
}
