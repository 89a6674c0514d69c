/**
 * An address at which no machine answers any more: new connections are neither accepted nor refused. A stopped process
 * listens there, and the queue of its connections is full, so that the system drops what opens further ones.
 */
import { spawn } from 'node:child_process';
import * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

const LISTEN = `
const server = require('node:net').createServer();
const [host, port] = process.argv.slice(1);
server.listen({ host, port: Number(port), backlog: 1 }, () => process.stdout.write('listening'));
`;
const FILL_MILLISECONDS = 300;
const MAXIMUM_FILLERS = 20;

function tryToConnect(host, port) {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port });
    socket.on('error', () => {});
    socket.once('connect', () => resolve(socket));
    setTimeout(() => resolve(undefined), FILL_MILLISECONDS).unref();
  });
}

/** Makes an address silent until `close` is called. */
export class GoneMachine {
  fillers = [];

  static async create(host, port) {
    const gone = new GoneMachine();
    try {
      await gone.open(host, port);
    } catch (error) {
      gone.close();
      throw error;
    }
    return gone;
  }

  async open(host, port) {
    this.child = spawn(process.execPath, ['-e', LISTEN, host, String(port)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    await new Promise((resolve, reject) => {
      this.child.stdout.once('data', resolve);
      this.child.once('exit', () => reject(new Error('the address is not free')));
    });
    this.child.kill('SIGSTOP');
    await delay(100);
    for (let count = 0; count < MAXIMUM_FILLERS; count += 1) {
      const filler = await tryToConnect(host, port);
      if (filler === undefined) {
        return;
      }
      this.fillers.push(filler);
    }
    throw new Error('the address goes on accepting connections');
  }

  close() {
    this.child.kill('SIGKILL');
    this.fillers.forEach((socket) => socket.destroy());
  }
}
