/**
 * A sound endpoint: reads each request completely, works on it for some time and answers with the request's id and a
 * seal. It registers in the store and rejects requests that are meant for another endpoint.
 */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

let lastNumber = 0;

/** One endpoint of a service; `runs` lists the requests that it has begun to work on. */
export class Endpoint {
  runs = [];

  constructor({ service, host, slots = 2, work = () => 100 }) {
    lastNumber += 1;
    Object.assign(this, { id: `i-${lastNumber}`, service, host, slots, work, sequence: 0 });
  }

  async listen() {
    this.server = http.createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.born = Date.now();
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes the entry of this endpoint, again and again while it runs. */
  register(store, { state = 'ready' } = {}) {
    const write = () => {
      this.sequence += 1;
      store.put(`servers/${this.id}`, {
        service: this.service,
        address: this.address,
        zone: 'recife-a',
        version: 'v1',
        slots: this.slots,
        state,
        warmup_left_ms: 0,
        sequence: this.sequence,
        born: this.born,
      });
    };
    clearInterval(this.timer);
    write();
    this.timer = setInterval(write, 1500);
  }

  async serve(request, response) {
    const id = String(request.headers['request-id']);
    const answer = (status, headers, body) => {
      response.writeHead(status, {
        'Request-Id': id,
        'Content-Length': Buffer.byteLength(body),
        ...headers,
      });
      response.end(body);
    };
    if (request.headers['expect-instance'] !== this.id) {
      request.resume();
      answer(421, { 'Instance-Id': this.id }, '');
      return;
    }
    const hash = crypto.createHash('sha256');
    let bytes = 0;
    for await (const chunk of request) {
      hash.update(chunk);
      bytes += chunk.length;
    }
    const run = { id, at: performance.now(), endpoint: this.id, method: request.method, bytes };
    run.hash = hash.digest('hex');
    this.runs.push(run);
    await delay(this.work(request));
    answer(200, { 'Server-Seal': `seal.${id}` }, `answer of ${this.id} to ${id}`);
  }
}
