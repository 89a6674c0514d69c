/**
 * An address at which no host responds any more, as after the removal of a VM: new connections are neither accepted nor
 * refused. A process listens there that never runs, and the queue of its connections is full, so that the system drops
 * the packets that would open further ones.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as results from '@dogwoodstall/results';

const LISTENER = `
const [host, port] = process.argv.slice(1);
const server = require('node:net').createServer();
server.listen({ host, port: Number(port), backlog: 1 }, () => console.log(server.address().port));
`;
/** A connection on loopback that is not established by then is not accepted. */
const CONNECT_MILLISECONDS = 300;
const MAXIMUM_QUEUED = 20;

async function tryConnect(host: string, port: number): Promise<net.Socket | undefined> {
  const socket = net.connect({ host, port });
  socket.on('error', () => {});
  const timeout = new AbortController();
  const connected = once(socket, 'connect', { signal: timeout.signal }).then(
    () => true,
    () => false,
  );
  const expired = delay(CONNECT_MILLISECONDS, false, { signal: timeout.signal }).catch(() => false);
  const isConnected = await Promise.race([connected, expired]);
  timeout.abort();
  if (!isConnected) {
    socket.destroy();
    return undefined;
  }
  return socket;
}

/** Holds a silent address until it is closed. */
export class SilentAddress {
  private readonly queued: net.Socket[] = [];

  /** A stopped process would not notice that this one has ended. */
  private readonly onExit = (): void => {
    this.listener.kill('SIGKILL');
  };

  private constructor(
    private readonly listener: ChildProcess,
    /** `host:port`. */
    readonly address: string,
  ) {
    process.once('exit', this.onExit);
  }

  /** Takes a port, by default a free one; throws `ListenFailed` if the address can't be made silent. */
  static async open(host = '127.0.0.1', port = 0): Promise<SilentAddress> {
    const listener = spawn(process.execPath, ['-e', LISTENER, host, String(port)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const output = once(listener.stdout, 'data').then(([data]) => Number(String(data)));
    const ended = once(listener, 'exit').then(() => undefined);
    const bound = await Promise.race([output, ended]);
    if (bound === undefined) {
      throw new results.FailureError('ListenFailed', `${host}:${port} can't be bound`);
    }
    const silent = new SilentAddress(listener, `${host}:${bound}`);
    listener.kill('SIGSTOP');
    for (let count = 0; count < MAXIMUM_QUEUED; count += 1) {
      const socket = await tryConnect(host, bound);
      if (socket === undefined) {
        return silent;
      }
      silent.queued.push(socket);
    }
    silent.close();
    throw new results.FailureError('ListenFailed', `${silent.address} accepts connections`);
  }

  /** Frees the address; connections that are being established are refused or reset. */
  close(): void {
    process.off('exit', this.onExit);
    this.listener.kill('SIGKILL');
    this.queued.forEach((socket) => socket.destroy());
  }
}
