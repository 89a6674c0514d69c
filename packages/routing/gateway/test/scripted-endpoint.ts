/**
 * An endpoint whose raw responses are written by the test.
 */
import * as net from 'node:net';

/** Handles one raw request; `number` counts the requests from 1. */
export type Script = (socket: net.Socket, request: string, number: number) => void;

function findRequestEnd(text: string): number {
  const head = text.indexOf('\r\n\r\n');
  if (head < 0) {
    return 0;
  }
  const length = Number(/content-length: (\d+)/i.exec(text.slice(0, head))?.[1] ?? 0);
  const end = head + 4 + length;
  return text.length >= end ? end : 0;
}

/** An endpoint that passes each complete request to a script. */
export class ScriptedEndpoint {
  readonly requests: string[] = [];

  readonly sockets = new Set<net.Socket>();

  readonly server: net.Server;

  connections = 0;

  constructor(script: Script) {
    this.server = net.createServer((socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      let pending = '';
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('data', (chunk) => {
        pending += chunk.toString('latin1');
        for (let end = findRequestEnd(pending); end > 0; end = findRequestEnd(pending)) {
          const request = pending.slice(0, end);
          pending = pending.slice(end);
          this.requests.push(request);
          script(socket, request, this.requests.length);
        }
      });
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }
}
