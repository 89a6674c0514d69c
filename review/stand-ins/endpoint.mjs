/**
 * Stand-in for an endpoint: registers itself in the store, serves a limited number of requests at a time, and leaves
 * with or without reporting that it drains.
 */
import * as http from 'node:http';

const HEARTBEAT_MILLISECONDS = 1500;
const IDLE_MILLISECONDS = 10_000;
const QUEUE_CAPACITY = 8;

export class Endpoint {
  running = 0;

  queue = [];

  sequence = 0;

  state = 'ready';

  leaving = false;

  registered = false;

  /** Time at which the store accepted that the endpoint drains or is gone. */
  leftAt = Infinity;

  constructor({ id, service, host, zone, slots, workMilliseconds, store, record }) {
    Object.assign(this, { id, service, host, zone, slots, workMilliseconds, store, record });
    this.born = Date.now();
    this.server = http.createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = IDLE_MILLISECONDS;
  }

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.registered = true;
    this.writeEntry();
    // Endpoints that start together don't write together.
    this.timer = setTimeout(() => {
      this.timer = setInterval(() => this.writeEntry(), HEARTBEAT_MILLISECONDS);
    }, Math.random() * HEARTBEAT_MILLISECONDS);
  }

  writeEntry() {
    if (!this.registered) {
      return;
    }
    this.sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: '1',
      slots: this.slots,
      state: this.state,
      warmup_left_ms: 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Leaves: reports `draining` or only removes the entry, goes on to serve for some time and then exits. */
  leave({ reports, serveMilliseconds }) {
    this.leaving = true;
    if (reports) {
      this.state = 'draining';
      this.writeEntry();
    } else {
      this.registered = false;
      this.store.remove(`servers/${this.id}`);
    }
    this.leftAt = performance.now();
    this.record(`${this.id} ${reports ? 'reports draining' : 'is removed from the store'}`);
    setTimeout(() => this.stop(), serveMilliseconds);
  }

  stop() {
    clearInterval(this.timer);
    this.registered = false;
    this.store.remove(`servers/${this.id}`);
    this.server.close();
    this.server.closeAllConnections();
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.handle(request, response));
    request.on('error', () => {});
  }

  handle(request, response) {
    const requestId = request.headers['request-id'] ?? '';
    const base = {
      'Request-Id': requestId,
      'Server-Load': `${this.running},${this.queue.length},${this.slots}`,
      ...(this.leaving && { 'Server-Leaving': '1', Connection: 'close' }),
    };
    if (request.url === '/health') {
      response.writeHead(this.leaving ? 503 : 200, { 'Instance-Id': this.id, ...base }).end();
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...base, 'Not-Executed': '1' }).end();
      return;
    }
    this.onArrival?.(requestId);
    if (this.running >= this.slots && this.queue.length >= QUEUE_CAPACITY) {
      response.writeHead(503, { ...base, 'Not-Executed': '1' }).end();
      return;
    }
    const run = () => this.run(requestId, base, response);
    if (this.running < this.slots) {
      run();
    } else {
      this.queue.push(run);
    }
  }

  run(requestId, base, response) {
    if (response.destroyed) {
      this.queue.shift()?.();
      return;
    }
    this.running += 1;
    this.record(`${this.id} runs ${requestId}`);
    this.onRun?.(requestId);
    setTimeout(
      () => {
        this.running -= 1;
        const text = `${this.id} ${requestId}`;
        const headers = {
          ...base,
          'Server-Seal': `seal-${this.id}`,
          'Content-Length': text.length,
        };
        response.writeHead(200, headers).end(text);
        this.queue.shift()?.();
      },
      this.workMilliseconds * (0.5 + Math.random()),
    );
  }
}
