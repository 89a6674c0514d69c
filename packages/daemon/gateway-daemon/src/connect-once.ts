/**
 * Checks whether an address accepts connections.
 */
import * as net from 'node:net';
import * as gateway from '@dogwoodstall/gateway';
import { splitAddress } from './settings.js';

const CONNECT_TIMEOUT_MILLISECONDS = 250;
/** Maximum number of connections that are being tried at a time. */
const MAXIMUM_TRIES = 24;

let tries = 0;

/**
 * Opens a connection and closes it at once; resolves with whether it was accepted in time, or with undefined if this
 * process could not try it. Rejects if the text is no address.
 */
export function connectOnce(address: string): Promise<boolean | undefined> {
  if (tries >= MAXIMUM_TRIES) {
    return Promise.resolve(undefined);
  }
  return new Promise((resolve) => {
    const socket = net.connect({ ...splitAddress(address), timeout: CONNECT_TIMEOUT_MILLISECONDS });
    tries += 1;
    const settle = (accepted: boolean | undefined): void => {
      socket.destroy();
      resolve(accepted);
    };
    socket.once('close', () => {
      tries -= 1;
    });
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(false));
    socket.once('error', (error) =>
      settle(gateway.isDescriptorShortage(error) ? undefined : false),
    );
  });
}
