/**
 * Stand-in for an endpoint: registers itself in the store, serves a limited number of requests at a time, and leaves
 * with or without reporting that it drains.
 */
import * as http from 'node:http';

const HEARTBEAT_MILLISECONDS = 1500;
const IDLE_MILLISECONDS = 10_000;
const QUEUE_CAPACITY = 8;
const RESTART_MILLISECONDS = 2500;

export class Endpoint {
  running = 0;

  queue = [];

  sequence = 0;

  state = 'ready';

  leaving = false;

  registered = false;

  /** Time at which the store accepted that the endpoint drains or is gone. */
  leftAt = Infinity;

  constructor(options) {
    Object.assign(this, options);
    this.born = Date.now();
  }

  start() {
    return this.listen(0);
  }

  async listen(port) {
    this.server = http.createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = IDLE_MILLISECONDS;
    await new Promise((resolve) => {
      this.server.listen(port, this.host, resolve);
    });
    this.port = this.server.address().port;
    this.address = `${this.host}:${this.port}`;
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
    this.stopped = true;
    clearInterval(this.timer);
    this.registered = false;
    this.store.remove(`servers/${this.id}`);
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Ends like a process that crashes, or silently like a machine that loses power, and starts again under its id and
   * address after some seconds.
   */
  crash(requestId) {
    this.record(`${this.id} crashes`);
    this.onCrash?.(requestId);
    clearInterval(this.timer);
    this.registered = false;
    const { server } = this;
    if (this.crashesSilently !== true) {
      server.close();
      server.closeAllConnections();
    }
    this.running = 0;
    this.queue = [];
    this.born = undefined;
    setTimeout(() => {
      server.close();
      server.closeAllConnections();
      if (!this.stopped) {
        this.born = Date.now();
        this.listen(this.port).catch((error) => this.record(`error: ${error}`));
      }
    }, RESTART_MILLISECONDS);
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.handle(request, response));
    request.on('error', () => {});
  }

  handle(request, response) {
    if (this.born === undefined) {
      return;
    }
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
    if (this.crashingPath !== undefined && response.req.url === this.crashingPath) {
      this.crash(requestId);
      return;
    }
    const { born } = this;
    setTimeout(
      () => {
        if (this.born !== born || this.stopped) {
          return;
        }
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
