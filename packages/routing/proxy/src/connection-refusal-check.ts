/**
 * Tells a crashed backend server from a broken connection: the process of a crashed one refuses the
 * next connection. Without the check, a request that crashes an idle server would leave one reset only
 * and could take down several servers before other traffic shows that they are gone.
 */
import * as net from 'node:net';

/** Longest wait for the answer to a connection attempt; the caller's failure waits as long. */
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

/** Checks backend servers whose connections broke. */
export class ConnectionRefusalCheck {
  private readonly running = new Map<string, Promise<boolean>>();

  /** Returns whether a server refuses connections; simultaneous checks of one server share a result. */
  check(address: string): Promise<boolean> {
    let check = this.running.get(address);
    if (check === undefined) {
      check = isRefused(address).finally(() => this.running.delete(address));
      this.running.set(address, check);
    }
    return check;
  }
}
