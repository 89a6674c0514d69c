/**
 * Stand-in for an endpoint, as PROTOCOL.md describes it. It registers itself, has slots and a short queue, stops work at
 * the deadline that it receives, rejects requests that are for another instance, and records what it runs.
 */
import * as crypto from 'node:crypto';
import * as net from 'node:net';

const HEARTBEAT_MILLISECONDS = 1500;
const QUEUE = 8;
const IDLE_MILLISECONDS = 10_000;

let lastId = 0;

export function digest(bytes) {
  return crypto.createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

/** Splits the bytes of one connection into requests. */
class RequestParser {
  buffer = Buffer.alloc(0);

  head = undefined;

  constructor(onHead, onRequest) {
    this.onHead = onHead;
    this.onRequest = onRequest;
  }

  push(chunk) {
    this.buffer = Buffer.concat([this.buffer, chunk]);
    while (this.readHead() && this.readBody()) {
      // Reads one request after the other.
    }
  }

  readHead() {
    if (this.head !== undefined) {
      return true;
    }
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end === -1) {
      return false;
    }
    const [line, ...lines] = this.buffer.toString('latin1', 0, end).split('\r\n');
    const [method, path] = line.split(' ');
    const headers = {};
    for (const header of lines) {
      const colon = header.indexOf(':');
      headers[header.slice(0, colon).toLowerCase()] = header.slice(colon + 1).trim();
    }
    this.buffer = this.buffer.subarray(end + 4);
    this.head = { method, path, headers, length: Number(headers['content-length'] ?? 0) };
    this.onHead(this.head);
    return true;
  }

  readBody() {
    if (this.buffer.length < this.head.length) {
      return false;
    }
    const body = this.buffer.subarray(0, this.head.length);
    this.buffer = this.buffer.subarray(this.head.length);
    const request = { ...this.head, body };
    this.head = undefined;
    this.onRequest(request);
    return this.buffer.length > 0;
  }
}

export class Endpoint {
  state = 'ready';

  sequence = 0;

  running = 0;

  queue = [];

  /** Everything that was run: id of the request, times, content. */
  runs = [];

  /** All requests that arrived for this endpoint. */
  arrivals = [];

  sockets = new Set();

  /** May return what becomes of a request that is to be run; called with the request and its socket. */
  onRun = undefined;

  /** May handle a request before its body was read; returns whether it did. */
  onHead = undefined;

  responseBytes = 0;

  /** Whether the bodies of answers are kept, to be compared with what requesters got. */
  keepsBodies = true;

  constructor(options) {
    lastId += 1;
    this.options = { slots: 2, workMilliseconds: 30, zone: 'zone-a', ...options };
    this.id = options.id ?? `i-${crypto.randomBytes(4).toString('hex')}${lastId}`;
    this.born = Date.now();
    this.server = net.createServer((socket) => this.accept(socket));
  }

  async start(store, host, port = 0) {
    this.store = store;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    const bound = this.server.address();
    this.address = `${bound.address}:${bound.port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  beat() {
    this.sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.options.service,
      address: this.address,
      zone: this.options.zone,
      version: 'v1',
      slots: this.options.slots,
      state: this.state,
      warmup_left_ms: 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Reports that it leaves; it serves on until `stop` is called. */
  drain() {
    this.state = 'draining';
    this.beat();
    return performance.now();
  }

  /** Removes its entry without a report, as some endpoints do. */
  leave() {
    clearInterval(this.timer);
    this.store.remove(`servers/${this.id}`);
    return performance.now();
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.setTimeout(IDLE_MILLISECONDS, () => socket.destroy());
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    const state = { handled: false };
    const parser = new RequestParser(
      (head) => {
        state.handled = this.onHead?.(head, socket, this) === true;
      },
      (request) => {
        if (!state.handled) {
          this.receive(request, socket);
        }
      },
    );
    socket.on('data', (chunk) => {
      if (!state.handled) {
        parser.push(chunk);
      }
    });
  }

  receive(request, socket) {
    const { headers } = request;
    const requestId = headers['request-id'] ?? '';
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
      this.send(socket, 421, requestId, { 'Instance-Id': this.id, 'Not-Executed': '1' }, '');
      return;
    }
    if (requestId === '') {
      this.send(socket, 400, requestId, { 'Not-Executed': '1' }, '');
      return;
    }
    this.arrivals.push({ requestId, at: performance.now() });
    const job = { request, socket, requestId, receivedAt: performance.now() };
    if (this.running < this.options.slots) {
      this.run(job);
    } else if (this.queue.length < QUEUE) {
      this.queue.push(job);
    } else {
      this.send(socket, 503, requestId, { 'Not-Executed': '1' }, '');
    }
  }

  run(job) {
    const { request, socket, requestId, receivedAt } = job;
    if (socket.destroyed) {
      this.next();
      return;
    }
    const deadline = receivedAt + Number(request.headers['deadline-ms'] ?? Infinity);
    if (performance.now() >= deadline) {
      this.send(socket, 503, requestId, { 'Not-Executed': '1' }, '');
      this.next();
      return;
    }
    this.running += 1;
    const content = `${request.method} ${request.path} ${digest(request.body)}`;
    const run = { requestId, endpoint: this.id, service: this.options.service };
    Object.assign(run, { content, startedAt: performance.now(), headers: request.headers });
    this.runs.push(run);
    const fate = this.onRun?.(request, socket, this) ?? {};
    const work = fate.workMilliseconds ?? this.options.workMilliseconds;
    const end = () => {
      this.running -= 1;
      socket.off('close', end);
      clearTimeout(run.timer);
      this.next();
    };
    socket.once('close', end);
    const left = deadline - performance.now();
    run.timer = setTimeout(
      () => {
        end();
        if (fate.respond !== undefined) {
          fate.respond(run);
        } else if (work > left) {
          this.send(socket, 504, requestId, this.seal(requestId), '');
        } else {
          const body = this.compose(run, fate.responseBytes ?? this.responseBytes);
          run.body = this.keepsBodies ? body : undefined;
          this.send(socket, 200, requestId, this.seal(requestId), body);
        }
      },
      Math.min(work, left),
    );
  }

  next() {
    if (this.running < this.options.slots) {
      const job = this.queue.shift();
      if (job !== undefined) {
        this.run(job);
      }
    }
  }

  seal(requestId) {
    return { 'Server-Seal': `${this.id}.${digest(requestId)}` };
  }

  compose({ requestId, content, service }, minimumBytes) {
    const text = `${this.id} ${service} ${requestId} ${content} `;
    return text + '.'.repeat(Math.max(0, minimumBytes - text.length));
  }

  send(socket, status, requestId, headers, body) {
    if (socket.destroyed) {
      return;
    }
    const all = {
      'Request-Id': requestId,
      'Server-Load': `${this.running},${this.queue.length},${this.options.slots}`,
      'Content-Length': String(Buffer.byteLength(body)),
      'Keep-Alive': 'timeout=10',
      ...headers,
    };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`HTTP/1.1 ${status} Answer\r\n${lines.join('')}\r\n${body}`);
  }
}
