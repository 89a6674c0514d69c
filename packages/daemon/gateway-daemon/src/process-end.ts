/**
 * Checks whether the process at an address has ended.
 */
import * as net from 'node:net';
import { splitAddress } from './settings.js';

const CONNECT_TIMEOUT_MILLISECONDS = 250;

/**
 * Calls back if a connection to an address is refused, so that no process listens there. Silence, a lost path or any
 * other error tells nothing. Returns the socket, which the caller may destroy.
 */
export function checkProcessEnd(address: string, onEnded: () => void): net.Socket {
  const socket = net.connect({ ...splitAddress(address), timeout: CONNECT_TIMEOUT_MILLISECONDS });
  socket.once('connect', () => socket.destroy());
  socket.once('timeout', () => socket.destroy());
  socket.once('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNREFUSED') {
      onEnded();
    }
  });
  return socket;
}
