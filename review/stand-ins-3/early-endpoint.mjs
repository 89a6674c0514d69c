/**
 * An endpoint that rejects long requests before they are in, keeps the connection, and reads the rest of the body later.
 */
import * as net from 'node:net';
import { Endpoint } from './endpoint.mjs';

const HEAD_END = '\r\n\r\n';

/**
 * Rejects each request with a body of `longBytes` or more, and reads on `readsOnAfter` milliseconds later. Serves all
 * others after their body is in; a request has arrived when its head is in.
 */
export class EarlyEndpoint extends Endpoint {
  /** Requests whose body was read completely after their rejection. */
  readOn = 0;

  arrivals = [];

  constructor({ readsOnAfter, longBytes, ...options }) {
    super(options);
    Object.assign(this, { readsOnAfter, longBytes });
  }

  async listen() {
    this.sockets = new Set();
    this.server = net.createServer((socket) => this.serveConnection(socket));
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.born = Date.now();
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  serveConnection(socket) {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    let head = '';
    let current;
    socket.on('data', (chunk) => {
      let rest = chunk;
      while (rest.length > 0) {
        if (current === undefined) {
          head += rest.toString('latin1');
          const end = head.indexOf(HEAD_END);
          if (end < 0) {
            return;
          }
          rest = Buffer.from(head.slice(end + HEAD_END.length), 'latin1');
          current = this.receiveHead(socket, head.slice(0, end + 2));
          head = '';
        }
        const taken = Math.min(current.bodyLeft, rest.length);
        current.bodyLeft -= taken;
        rest = rest.subarray(taken);
        if (current.bodyLeft === 0) {
          this.finish(socket, current);
          current = undefined;
        }
      }
    });
  }

  /** Returns the request that a head begins; a long one is rejected at once. */
  receiveHead(socket, head) {
    const read = (name) => new RegExp(`\\r\\n${name}: *(.*)\\r\\n`, 'i').exec(head)?.[1];
    const bodyLeft = Number(read('content-length') ?? 0);
    const request = { id: read('request-id'), bodyLeft, isRejected: bodyLeft >= this.longBytes };
    this.arrivals.push({ id: request.id, at: performance.now() });
    if (request.isRejected) {
      this.answer(socket, request, '503 Service Unavailable', 'Not-Executed: 1');
      socket.pause();
      setTimeout(() => socket.resume(), this.readsOnAfter);
    }
    return request;
  }

  /** Works on a request whose body is in. */
  finish(socket, request) {
    if (request.isRejected) {
      this.readOn += 1;
      return;
    }
    this.runs.push(request);
    setTimeout(() => {
      if (!socket.destroyed) {
        this.answer(socket, request, '200 OK', `Server-Seal: seal.${request.id}`);
      }
    }, this.work(request));
  }

  answer(socket, { id }, status, header) {
    const body = `answer of ${this.id} to ${id}`;
    socket.write(
      `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\n${header}\r\n` +
        `Content-Length: ${body.length}${HEAD_END}${body}`,
    );
  }
}
