/**
 * Establishes connections to endpoints and to other daemons. The connect timeout of undici is measured in steps of half
 * a second, too coarse for a caller that waits for a second.
 */
import net from 'node:net';
import type { buildConnector } from 'undici';

/** Connect timeout; covers several round trips between availability zones and one retransmission on a fast network. */
export const CONNECT_TIMEOUT_MILLISECONDS = 250;
/** A connection that took longer was established while this process was suspended. */
const SUSPENDED_CONNECT_MILLISECONDS = 1000;
const KEEP_ALIVE_PROBE_MILLISECONDS = 60_000;

/** Opens a connection; calls back with an error if it is not established within the connect timeout. */
export function connectSocket(
  { hostname, port }: Pick<buildConnector.Options, 'hostname' | 'port'>,
  callback: buildConnector.Callback,
): void {
  const startedAt = performance.now();
  const socket = net.connect({ host: hostname, port: Number(port) });
  let settled = false;
  const settle: buildConnector.Callback = (...outcome) => {
    if (settled) {
      return;
    }
    settled = true;
    const [, connected] = outcome;
    if (connected === null) {
      socket.destroy();
    }
    callback(...outcome);
  };
  // A connection that was established while the event loop was busy is reported before the immediate runs.
  const timer = setTimeout(
    () => setImmediate(() => settle(new Error('connect timeout'), null)),
    CONNECT_TIMEOUT_MILLISECONDS,
  );
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MILLISECONDS);
  socket.once('connect', () => {
    clearTimeout(timer);
    if (performance.now() - startedAt > SUSPENDED_CONNECT_MILLISECONDS) {
      settle(new Error('process was suspended while connecting'), null);
    } else {
      settle(null, socket);
    }
  });
  socket.on('error', (error) => {
    clearTimeout(timer);
    settle(error, null);
  });
}
